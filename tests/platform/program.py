"""The real gateway program, in a process of its own, with a store that the test serves."""

import json
import os
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack, closing, suppress
from http.client import HTTPConnection, HTTPException
from pathlib import Path
from random import SystemRandom
from threading import Event
from time import monotonic

from tests.gateway.loopback import StandInSearcher

from .test_items import CONFIG
from .test_store import http, stored

SOURCE = Path(__file__).resolve().parents[2] / "src"
START_TIMEOUT_S = 20.0
REPLY_TIMEOUT_S = 5.0
SMALL_REQUEST = b"GET /z/ HTTP/1.1\r\nHost: a.example\r\nX-Masticgate-Request-Id: q\r\n\r\n"
PORTS = ("front", "ready", "control")

PORTS_TO_DRAW = range(20_000, 32_000)
"""The system gives no port of this range to outgoing connections or to listeners without a port.

Ports that it had given were taken again by a stand-in or by another run before a program listened.
"""

RUN_PROGRAM = "import runpy; runpy.run_module('masticgate.platform', run_name='__main__')"

SETTINGS = """
nodeName = "front-1"
ip = "127.0.0.1"
zone = "z1"
seedNodes = []
[bindAddresses]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[bounds]
drainMs = 3000
graceS = {grace}
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
[platform]
address = "{store}"
"""


def free_port() -> int:
    """Return a port on which nothing listens."""
    return free_ports("port")["port"]


def free_ports(*names: str) -> dict[str, int]:
    """Return a port for each name, all different, on which nothing listens."""
    with ExitStack() as stack:
        probes = [stack.enter_context(_listen_on_free_port()) for _ in names]
        return {name: probe.getsockname()[1] for name, probe in zip(names, probes, strict=True)}


def _listen_on_free_port() -> socket.socket:
    while True:
        with suppress(OSError):
            return socket.create_server(("127.0.0.1", SystemRandom().choice(PORTS_TO_DRAW)))


def answer_as_store(head: bytes, version: int = 7) -> bytes:
    """Answer as a store that holds one configuration, with ``version``, and no searchers."""
    if b"kv-watch" in head.split(b" ")[1]:
        Event().wait(0.2)
        return http(200, {"events": [], "currentRev": 7})
    published = stored("op/config", CONFIG | {"version": version})
    return http(200, {"items": [published], "currentRev": 7})


class GatewayProgram:
    """One gateway program, its settings file and its store.

    ``ports`` maps ``front``, ``ready`` and ``control`` to the ports that the settings name.
    """

    def __init__(self, folder: Path) -> None:
        self.store = StandInSearcher(answer_as_store)
        self.path = folder / "local.toml"
        self.output = folder / "output.txt"
        self.ports = free_ports(*PORTS)
        self.process: subprocess.Popen[bytes] | None = None

    def settings(self, grace: float = 1.0) -> str:
        """Return the text of a valid settings file."""
        return SETTINGS.format(**self.ports, grace=grace, store=self.store.address)

    def write_settings(self, grace: float = 1.0, more: str = "") -> None:
        """Write a valid settings file, with ``more`` at its end."""
        self.path.write_text(self.settings(grace) + more)

    def start(
        self,
        *options: str,
        arguments: tuple[str, ...] = (),
        prelude: str = "",
        source: Path = SOURCE,
        **popen,
    ) -> None:
        """Start the program; ``options`` are for the interpreter, ``popen`` for the process.

        ``prelude`` is Python code that the interpreter runs before the program, which is loaded
        from ``source``.
        """
        environment = os.environ | {
            "MASTICGATE_NODE_FILE": str(self.path),
            "PYTHONPATH": os.pathsep.join([str(source), *sys.path]),
        }
        run = ("-c", f"{prelude}\n{RUN_PROGRAM}") if prelude else ("-m", "masticgate.platform")
        command = [sys.executable, "-S", *options, *run, *arguments]
        with self.output.open("ab") as output:
            streams = {"stdout": output, "stderr": subprocess.STDOUT} | popen
            self.process = subprocess.Popen(command, env=environment, **streams)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        connection = HTTPConnection("127.0.0.1", self.ports["ready"], timeout=1)
        with suppress(OSError, HTTPException), closing(connection):
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        return False

    def request(self) -> bytes:
        """Return the reply to a small request of one more caller."""
        address = ("127.0.0.1", self.ports["front"])
        with socket.create_connection(address, timeout=REPLY_TIMEOUT_S) as caller:
            caller.sendall(SMALL_REQUEST)
            return caller.recv(4_096)

    def wait_until_ready(self) -> None:
        """Wait until the readiness check succeeds.

        :raises AssertionError: the process ended, or takes too long.
        """
        assert self.process is not None
        deadline = monotonic() + START_TIMEOUT_S
        while not self.is_ready():
            status = self.process.poll()
            assert status is None, f"ended with {status}: {self.output.read_text()}"
            assert monotonic() < deadline, f"not ready: {self.output.read_text()}"
            Event().wait(0.02)

    def wait_for_event(self, event: str, **fields: object) -> dict:
        """Return the first line of the log for ``event`` with these fields, once it is written."""
        wanted = {"event": event, **fields}
        deadline = monotonic() + START_TIMEOUT_S
        while monotonic() < deadline:
            for line in self.output.read_text().splitlines():
                values = json.loads(line) if line.startswith("{") else {}
                if all(values.get(name) == value for name, value in wanted.items()):
                    return dict(values)
            if self.process is None or self.process.poll() is not None:
                break
            Event().wait(0.02)
        raise AssertionError(f"no line {event}: {self.output.read_text()}")

    def read_status(self, name: str) -> int:
        """Return a field of the process's status that is in kB, such as ``VmHWM``, in bytes."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines())
        return int(lines[name].split()[0]) * 1024

    def wait_for_end(self, timeout_s: float = 10.0) -> int:
        """Return the exit status of the process once it has ended."""
        assert self.process is not None
        return self.process.wait(timeout_s)

    def close(self) -> None:
        """End the process and the store."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.store.listener.close()
