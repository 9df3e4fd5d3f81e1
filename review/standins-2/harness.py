"""What the scripts of this review share: a store, searchers, callers and the gateway program.

The stand-ins speak what the users' pages say, on loopback addresses, and only the part of it that
the scripts need. Each gateway is a process of its own, started with the command of the deploy file.
"""

import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "pupu76.example"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


def with_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` beside a script; each line has the seconds since its start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.write(f"TROUBLE={int(with_trouble())}")

    def write(self, text: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
            self.file.flush()


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens, below those for outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(20_000, 32_000)
        try:
            socket.create_server(("0.0.0.0", port)).close()
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Stream:
    """Reads HTTP messages from a socket."""

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.data = b""

    def fill(self) -> None:
        """Receive more bytes.

        :raises ConnectionError: the peer has closed the connection.
        """
        received = self.connection.recv(65_536)
        if not received:
            raise ConnectionError("closed by the peer")
        self.data += received

    def read_head(self) -> tuple[str, dict[str, str]]:
        """Return the first line of a message and its headers, with names in lower case."""
        while b"\r\n\r\n" not in self.data:
            self.fill()
        head, _, self.data = self.data.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        return first, headers

    def read_body(self, headers: dict[str, str]) -> bytes:
        """Return the body of a message that states its length, or has none."""
        size = int(headers.get("content-length", "0"))
        while len(self.data) < size:
            self.fill()
        body, self.data = self.data[:size], self.data[size:]
        return body


class Server:
    """Accepts connections, and handles each one in a thread of its own."""

    def __init__(self, ip: str, port: int) -> None:
        self.listener = socket.create_server((ip, port), backlog=256)
        self.address = f"{ip}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._handle, args=(connection,), daemon=True).start()

    def _handle(self, connection: socket.socket) -> None:
        try:
            with connection:
                self.serve(connection)
        except OSError:
            return

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: it holds items, and the changes to them since its start."""

    def __init__(self, ip: str, port: int) -> None:
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.revision = 1
        super().__init__(ip, port)

    def put(self, key: str, value: object) -> None:
        """Write one item."""
        with self.changed:
            self.revision += 1
            text = base64.b64encode(json.dumps(value).encode()).decode()
            known = self.items.get(key)
            created = self.revision if known is None else known["createRev"]
            item = {
                "key": key,
                "value": text,
                "revision": self.revision,
                "createRev": created,
                "lease": 0,
            }
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()

    def remove(self, key: str) -> None:
        """Remove one item."""
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends."""
        stream = Stream(connection)
        while True:
            first, headers = stream.read_head()
            stream.read_body(headers)
            url = urlsplit(first.split(" ")[1])
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            status, body = self.answer(url.path, query)
            data = json.dumps(body).encode()
            connection.sendall(
                b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                % (status, len(data), data)
            )

    def answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        """Return the status and the body of the answer to one call."""
        prefix, after = query.get("prefix", ""), query.get("after", "")
        with self.changed:
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"currentRev": self.revision}
                return 200, item | {"currentRev": self.revision}
            if path == "/v1/kv-range":
                keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
                items = [self.items[key] for key in keys[:500]]
                more = len(keys) > 500
                return 200, {"items": items, "hasMore": more, "currentRev": self.revision}
            deadline = time.monotonic() + min(30_000, int(query.get("waitMs", "0"))) / 1_000
            while True:
                events = [
                    e
                    for e in self.events
                    if e["revision"] > int(after) and e["key"].startswith(prefix)
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                self.changed.wait(remaining)


class Run:
    """One request that a searcher has received."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.at = time.monotonic()
        self.first = first
        self.headers = headers
        self.body = body
        self.id = headers.get("x-masticgate-request-id", "")


class Searcher(Server):
    """A sound searcher that answers each request with its id, after ``work_s`` seconds."""

    def __init__(self, record: Record, name: str, service: str, ip: str, port: int) -> None:
        self.record = record
        self.name = name
        self.service = service
        self.work_s = 0.005
        self.lock = threading.Lock()
        self.runs: list[Run] = []
        super().__init__(ip, port)

    def entry(self, zone: str = "tvm", state: str = "ready") -> dict:
        """Return what the searcher writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }

    def note(self, run: Run) -> None:
        """Record that a request is run."""
        with self.lock:
            self.runs.append(run)
        deadline = run.headers.get("x-masticgate-deadline-ms", "none")
        self.record.write(
            f"{self.name} runs {run.id} ({run.first}, {len(run.body)} bytes, deadline {deadline})"
        )

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends."""
        stream = Stream(connection)
        while True:
            first, headers = stream.read_head()
            if headers.get("x-masticgate-expected-instance", self.name) != self.name:
                stream.read_body(headers)
                connection.sendall(
                    self.response(headers, b"", status=421, more="X-Masticgate-Not-Executed: 1\r\n")
                )
                continue
            self.handle(connection, stream, first, headers)

    def handle(
        self, connection: socket.socket, stream: Stream, first: str, headers: dict[str, str]
    ) -> None:
        """Read the body of a request, run it and answer it."""
        run = Run(first, headers, stream.read_body(headers))
        self.note(run)
        time.sleep(self.work_s)
        connection.sendall(self.response(headers, b"ran " + run.id.encode()))

    def response(
        self, headers: dict[str, str], body: bytes, *, status: int = 200, more: str = ""
    ) -> bytes:
        """Return an answer to the request with ``headers``."""
        id = headers.get("x-masticgate-request-id", "")
        return (
            f"HTTP/1.1 {status} X\r\nX-Masticgate-Request-Id: {id}\r\n"
            f"X-Masticgate-Server-Stamp: {self.name}.{id}\r\n{more}"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body


def make_route(name: str, prefix: str, **fields: object) -> dict:
    """Return one route of a configuration; it is idempotent unless ``fields`` say otherwise."""
    route = {
        "name": name,
        "hostname": HOST,
        "prefix": prefix,
        "type": "idempotent",
        "maxAttempts": 2,
        "timeoutMs": 2_000,
        "targetLatencyMs": 500,
        "priority": 0,
    }
    return route | fields


def make_configuration(
    version: int, routes: list[dict], services: list[str], **limits: int
) -> dict:
    """Return a configuration; ``limits`` replace those of the users' sites."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "maxConnections": 96, "healthCheckPath": "/health"} for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 15_000,
        }
        | limits,
    }


SETTINGS = """
nodeName = "{name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "kerala"
internalPortRange = [7380,7395]
seedNodes = [{seeds}]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entryPoint = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
tvm = "kerala"
ekm = "kerala"
tcr = "kerala"
[bindAddresses]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cpuSpeedup = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
stabilityWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 52
recoveryS = 12
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


class Gateway:
    """One process of the gateway, on a loopback address of its own."""

    def __init__(
        self,
        folder: Path,
        name: str,
        ip: str,
        zone: str,
        ports: dict[str, int],
        seeds: list[str],
        store: str,
    ) -> None:
        self.name = name
        self.ip = ip
        self.ports = ports
        self.folder = folder
        self.path = folder / f"{name}.toml"
        names = ",".join(f'"{seed}:{ports["control"]}"' for seed in seeds)
        self.path.write_text(
            SETTINGS.format(name=name, ip=ip, zone=zone, seeds=names, store=store, **ports)
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file, on a free port for metrics."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        command[-1] = str(self.ports["metrics"])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = kept | {
            "MASTICGATE_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            with socket.create_connection((self.ip, self.ports["ready"]), timeout=1) as connection:
                connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the gateway is ready; return ``False`` if it takes too long."""
        deadline = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > deadline:
                return False
            time.sleep(0.05)
        return True

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Reply:
    """The answer to one request; ``status`` is 0 if there was no whole answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes, detail: str = "") -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.status or 'no answer'} {self.detail}".strip()


class Caller:
    """A client with one connection, which is kept for several requests."""

    def __init__(self, gateway: Gateway, timeout_s: float = 10.0) -> None:
        address = (gateway.ip, gateway.ports["front"])
        self.connection = socket.create_connection(address, timeout=timeout_s)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = Stream(self.connection)

    def send(self, method: str, path: str, id: str, deadline_ms: int, body: bytes = b"") -> None:
        """Send one request."""
        length = f"Content-Length: {len(body)}\r\n" if body or method != "GET" else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Masticgate-Request-Id: {id}\r\n"
            f"X-Masticgate-Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
        )
        self.connection.sendall(head.encode() + body)

    def receive(self) -> Reply:
        """Return the answer to the request that was sent last."""
        try:
            first, headers = self.stream.read_head()
            body = self.stream.read_body(headers)
        except OSError as error:
            return Reply(0, {}, b"", str(error) or type(error).__name__)
        return Reply(int(first.split(" ")[1]), headers, body)

    def ask(self, method: str, path: str, id: str, deadline_ms: int, body: bytes = b"") -> Reply:
        """Send one request and return its answer."""
        try:
            self.send(method, path, id, deadline_ms, body)
        except OSError as error:
            return Reply(0, {}, b"", str(error))
        return self.receive()

    def close(self) -> None:
        """Close the connection."""
        self.connection.close()


class Deployment:
    """A store and a gateway for each of ``zones`` on one set of ports; for a ``with`` statement."""

    def __init__(self, zones: tuple[str, ...] = ("tvm",), network: int = 1) -> None:
        self.folder = tempfile.TemporaryDirectory()
        front, ready, control, metrics, store = free_ports(5)
        ports = {"front": front, "ready": ready, "control": control, "metrics": metrics}
        ips = [f"127.0.{network}.{number}" for number in range(1, len(zones) + 1)]
        self.store = Store("127.0.0.1", store)
        self.gateways = [
            Gateway(
                Path(self.folder.name),
                f"front-{zone}-{number}",
                ip,
                zone,
                ports,
                ips[:3],
                self.store.address,
            )
            for number, (ip, zone) in enumerate(zip(ips, zones, strict=True), 1)
        ]

    def start(self) -> bool:
        """Start all gateways; return whether they are ready in time."""
        for gateway in self.gateways:
            gateway.start()
        return all(gateway.wait_until_ready() for gateway in self.gateways)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *error: object) -> None:
        for gateway in self.gateways:
            gateway.kill()
        self.folder.cleanup()


def run_together(calls: list) -> list:
    """Call each of ``calls`` in a thread of its own, and return their results in order."""
    results = [None] * len(calls)

    def call(index: int) -> None:
        results[index] = calls[index]()

    threads = [threading.Thread(target=call, args=(index,)) for index in range(len(calls))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def main(script: str, play) -> None:
    """Run ``play`` with the record of a script, and exit with what it returns."""
    record = Record(Path(script).resolve().parent)
    try:
        verdict = play(record)
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        verdict = CANNOT_RUN
    text = {HELD: "the rule held", BROKEN: "the rule was broken", CANNOT_RUN: "could not run"}
    record.write(text[verdict])
    print(text[verdict])
    sys.exit(verdict)
