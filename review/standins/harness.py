"""Stand-ins that follow the users' pages, and real gateway processes on loopback addresses.

A script creates one :class:`Case`, adds searchers, publishes a configuration, starts gateways with
the command of the deploy file and sends requests. Everything that was sent, answered and run is
written to ``record.txt`` in the folder of the script.
"""

import base64
import json
import os
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
MAX_RUN_S = 112
"""A case that takes longer ends as not run."""

ID = "x-masticgate-request-id"
DEADLINE = "x-masticgate-deadline-ms"
STAMP = "x-masticgate-server-stamp"
EXPECTED = "x-masticgate-expected-instance"
NOT_EXECUTED = "x-masticgate-not-executed"
PART_STAMPS = "x-masticgate-part-stamps"
MISSING_PARTS = "x-masticgate-missing-parts"

RECORD_BYTES = 16
STORE_PAGE_ITEMS = 500
CUT = 0
"""The status that stands for a watch whose connection the store closes without a response."""
RESET_AT_CLOSE = b"\x01\x00\x00\x00\x00\x00\x00\x00"

BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "stabilityWindowMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 3000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 3000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 12000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoveryS": 12,
}
"""The bounds of the site ksltmb-search."""


class NotRunError(Exception):
    """The case could not be run."""


@dataclass
class Message:
    """One HTTP message: its first line, its headers by name in lower case, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        """The target of a request: its path and query."""
        return self.first.split(" ")[1]


class Reader:
    """Reads HTTP messages from a socket and keeps the bytes that follow a message."""

    def __init__(self, connection: socket.socket) -> None:
        self.connection = connection
        self.buffer = b""

    def read(self) -> Message | None:
        """Return the next message, or ``None`` if the connection ends before it begins.

        :raises EOFError: the connection ends within the message.
        """
        while b"\r\n\r\n" not in self.buffer:
            data = self.connection.recv(65_536)
            if not data:
                if self.buffer:
                    raise EOFError("the connection ended within the head of a message")
                return None
            self.buffer += data
        head, _, rest = self.buffer.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            data = self.connection.recv(65_536)
            if not data:
                raise EOFError("the connection ended within the body of a message")
            rest += data
        self.buffer = rest[length:]
        return Message(first, headers, rest[:length])


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response that states its length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def listen(ip: str = "127.0.0.1") -> socket.socket:
    """Return a socket that listens on a free port."""
    return socket.create_server((ip, 0), backlog=128)


class Record:
    """The events of a case in the order of their times, in seconds from its start."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.events: list[dict] = []

    def add(self, event: str, **fields: object) -> float:
        """Record an event now, and return its time."""
        now = time.monotonic() - self.started_at
        with self.lock:
            self.events.append({"t": round(now, 4), "event": event} | fields)
        return now

    def of(self, event: str, **wanted: object) -> list[dict]:
        """Return the events of one kind whose fields have the ``wanted`` values."""
        with self.lock:
            return [
                e
                for e in self.events
                if e["event"] == event and all(e.get(k) == v for k, v in wanted.items())
            ]

    def write(self, path: Path) -> None:
        """Write one line of JSON for each event."""
        with self.lock:
            lines = [json.dumps(event) for event in sorted(self.events, key=lambda e: e["t"])]
        path.write_text("\n".join(lines) + "\n")


class Server:
    """A server with one thread for each connection."""

    def __init__(self, ip: str = "127.0.0.1") -> None:
        self.listener = listen(ip)
        ip, port = self.listener.getsockname()
        self.address = f"{ip}:{port}"
        self.open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.open.add(connection)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection: socket.socket) -> None:
        with suppress(OSError, EOFError), connection:
            self.serve(connection)
        self.open.discard(connection)

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until its end."""
        raise NotImplementedError

    def stop(self) -> None:
        """End the server: refuse new connections and reset the open ones."""
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for connection in list(self.open):
            with suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                connection.shutdown(socket.SHUT_RDWR)


class Store(Server):
    """The platform's metadata store: reads, ranges in pages, and watches."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 7
        self.cuts_watches_after_s: float | None = None
        super().__init__()

    def reopen(self) -> "Store":
        """Return a server of the same items and history at another address."""
        store = Store(self.record)
        store.items, store.history, store.revision = self.items, self.history, self.revision
        return store

    def put(self, key: str, value: object) -> None:
        """Write an item; the return of this call is the confirmation."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("createRev", self.revision)
            item = {
                "key": key,
                "value": data,
                "revision": self.revision,
                "createRev": created,
                "lease": 0,
            }
            self.items[key] = item
            self.history.append(item)
            self.changed.notify_all()
        self.record.add("store_put", key=key, revision=self.revision, value=value)

    def remove(self, key: str) -> None:
        """Remove an item; the return of this call is the confirmation."""
        with self.changed:
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()
        self.record.add("store_remove", key=key, revision=self.revision)

    def serve(self, connection: socket.socket) -> None:
        reader = Reader(connection)
        while (message := reader.read()) is not None:
            url = urlsplit(message.target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            status, body = self._answer(url.path, query)
            if status == CUT:
                self.record.add("watch_cut")
                return
            data = json.dumps(body).encode()
            connection.sendall(encode_response(status, {"Content-Type": "application/json"}, data))

    def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        with self.changed:
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"currentRev": self.revision}
                return 200, item | {"currentRev": self.revision}
            prefix = query.get("prefix", "")
            if path == "/v1/kv-range":
                after = query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
                page = [self.items[key] for key in keys[:STORE_PAGE_ITEMS]]
                more = len(keys) > STORE_PAGE_ITEMS
                return 200, {"items": page, "hasMore": more, "currentRev": self.revision}
            if path != "/v1/kv-watch":
                return 404, {}
            since = int(query["after"])
            wait = int(query["waitMs"]) / 1000

            def events() -> list[dict]:
                return [
                    item
                    for item in self.history
                    if item["revision"] > since and item["key"].startswith(prefix)
                ]

            cut_after = self.cuts_watches_after_s
            if cut_after is not None and cut_after < wait:
                if not self.changed.wait_for(events, cut_after):
                    return CUT, {}
            else:
                self.changed.wait_for(events, wait)
            return 200, {"events": events(), "currentRev": self.revision}


class Searcher(Server):
    """A sound searcher: it runs ``slots`` requests at a time and queues a few more.

    ``work_s`` is the time of one run. A run ends early if its connection closes. ``loses_answer``
    is called with a request that ran, and says whether its answer is lost with the connection.
    """

    def __init__(
        self, case: "Case", searcher_id: str, service: str, zone: str, work_s: float = 0.005
    ) -> None:
        self.case = case
        self.record = case.record
        self.id = searcher_id
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = 2
        self.queue = 12
        self.waiting = 0
        self.free = threading.Semaphore(self.slots)
        self.lock = threading.Lock()
        self.loses_answer = lambda message: False
        self.work_of = lambda message: self.work_s
        self.sequence = 0
        self.born = int(time.time() * 1000)
        super().__init__()

    def entry(self, state: str = "ready") -> dict:
        """Return the next version of the searcher's entry in the store."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def list(self, state: str = "ready") -> None:
        """Write the searcher's entry to the store."""
        self.case.store.put(f"servers/{self.id}", self.entry(state))

    def serve(self, connection: socket.socket) -> None:
        reader = Reader(connection)
        while (message := reader.read()) is not None:
            data = self._handle(message, connection)
            if data is None:
                return
            connection.sendall(data)

    def _handle(self, message: Message, connection: socket.socket) -> bytes | None:
        request = message.headers.get(ID, "")
        echo = {ID: request}
        expected = message.headers.get(EXPECTED)
        if expected is not None and expected != self.id:
            self.record.add("declined_421", searcher=self.id, request=request, expected=expected)
            return encode_response(421, echo | {NOT_EXECUTED: "1"})
        if not request:
            return encode_response(400, {NOT_EXECUTED: "1"})
        with self.lock:
            if self.waiting >= self.queue:
                return encode_response(503, echo | {NOT_EXECUTED: "1"})
            self.waiting += 1
        deadline = time.monotonic() + int(message.headers.get(DEADLINE, "30000")) / 1000
        try:
            while not self.free.acquire(timeout=0.01):
                if _is_closed(connection):
                    return None
                if time.monotonic() > deadline:
                    return encode_response(503, echo | {NOT_EXECUTED: "1"})
        finally:
            with self.lock:
                self.waiting -= 1
        try:
            return self._run_request(message, connection, deadline)
        finally:
            self.free.release()

    def _run_request(
        self, message: Message, connection: socket.socket, deadline: float
    ) -> bytes | None:
        request = message.headers[ID]
        self.record.add(
            "run",
            searcher=self.id,
            service=self.service,
            request=request,
            method=message.method,
            target=message.target,
            host=message.headers.get("host"),
            body_bytes=len(message.body),
            deadline_ms=message.headers.get(DEADLINE),
            expected=message.headers.get(EXPECTED),
        )
        ends_at = time.monotonic() + self.work_of(message)
        while (left := min(ends_at, deadline) - time.monotonic()) > 0:
            if select.select([connection], [], [], left)[0] and _is_closed(connection):
                self.record.add("dropped", searcher=self.id, request=request)
                return None
            time.sleep(min(0.001, max(0.0, left)))
        stamp = f"{request}.{self.service}.{self.id}"
        headers = {ID: request, STAMP: stamp, "X-Masticgate-Server-Load": "1,0,2"}
        if ends_at > deadline:
            return encode_response(504, headers)
        self.record.add("ran", searcher=self.id, service=self.service, request=request)
        if self.loses_answer(message):
            self.record.add("answer_lost", searcher=self.id, request=request)
            return None
        return encode_response(200, headers, self.body_for(request))

    def body_for(self, request: str) -> bytes:
        """Return the body of the answer to a request."""
        return records_of(self.service, request)


def records_of(service: str, request: str) -> bytes:
    """Return the records that a service holds for a request; all its searchers have the same."""
    return b"".join(f"{service[-6:]:>6}{request[-8:]:>8}{n:02d}".encode()[:16] for n in range(4))


def _is_closed(connection: socket.socket) -> bool:
    if not select.select([connection], [], [], 0)[0]:
        return False
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


class Client:
    """One client with one connection, which it keeps open from request to request."""

    def __init__(self, case: "Case", address: str) -> None:
        self.case = case
        self.record = case.record
        self.address = address
        self.connection: socket.socket | None = None

    def connect(self) -> None:
        """Open a new connection."""
        ip, _, port = self.address.rpartition(":")
        self.connection = socket.create_connection((ip, int(port)), timeout=1)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reader = Reader(self.connection)

    def request(
        self,
        path: str,
        request: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 1500,
        host: str = "pupu76.example",
        headers: dict[str, str] | None = None,
    ) -> Message | None:
        """Send a request and return the answer, or ``None`` if the connection ends without one."""
        if self.connection is None:
            self.connect()
        assert self.connection is not None
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
        lines += [f"X-Masticgate-Request-Id: {request}", f"X-Masticgate-Deadline-Ms: {deadline_ms}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.record.add(
            "sent", request=request, to=self.address, method=method, path=path, bytes=len(body)
        )
        try:
            self.connection.settimeout(deadline_ms / 1000 + 0.5)
            self.connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = self.reader.read()
        except (OSError, EOFError) as error:
            self.record.add("no_answer", request=request, why=repr(error))
            self.close()
            return None
        if message is None:
            self.record.add("no_answer", request=request, why="the connection was closed")
            self.close()
            return None
        self.record.add(
            "answered",
            request=request,
            status=message.status,
            headers={k: v for k, v in message.headers.items() if k != "content-length"},
            body=message.body[:200].decode("latin-1"),
        )
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return message

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


@dataclass
class GatewayProcess:
    """One machine with one gateway process, started with the command of the deploy file."""

    case: "Case"
    number: int
    zone: str
    ip: str
    ports: dict[str, int]
    process: subprocess.Popen | None = None
    bounds: dict[str, float] = field(default_factory=lambda: dict(BOUNDS))

    def address(self, name: str) -> str:
        """Return the address "front", "ready" or "control"."""
        return f"{self.ip}:{self.ports[name]}"

    @property
    def settings_path(self) -> Path:
        """The path of the settings file."""
        return self.case.folder / f"gateway-{self.number}.toml"

    def write_settings(self) -> None:
        """Write the settings file as DEPLOY.md shows it."""
        seeds = ", ".join(f'"{g.address("control")}"' for g in self.case.gateways[:3])
        zones = "\n".join(f'{zone} = "kerala"' for zone in self.case.zones)
        bounds = "\n".join(f"{name} = {value}" for name, value in self.bounds.items())
        self.settings_path.write_text(f"""nodeName = "front-{self.zone}-{self.number}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "{self.ip}"
zone = "{self.zone}"
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
{zones}
[bindAddresses]
front = "{self.address('front')}"
ready = "{self.address('ready')}"
control = "{self.address('control')}"
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
{bounds}
[platform]
address = "{self.case.store.address}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
""")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["MASTICGATE_NODE_FILE"] = str(self.settings_path)
        environment["PYTHONPATH"] = "target/deps"
        log = self.case.folder / f"gateway-{self.number}.log"
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        self.case.record.add("gateway_started", gateway=self.number, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.case.record.add("signal", gateway=self.number, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness check is answered 200."""
        try:
            with socket.create_connection((self.ip, self.ports["ready"]), timeout=1) as connection:
                connection.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                message = Reader(connection).read()
                return message is not None and message.status == 200
        except (OSError, EOFError):
            return False

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Case:
    """A small deployment: a store, searchers and gateways in several zones."""

    def __init__(self, folder: Path, zones: tuple[str, ...] = ("tvm", "ekm", "tcr")) -> None:
        self.record = Record()
        self.record_path = folder / "record.txt"
        self.zones = zones
        self.store = Store(self.record)
        self.searchers: list[Searcher] = []
        self.gateways: list[GatewayProcess] = []
        self.folder = Path(tempfile.mkdtemp())
        self.version = 3

    def add_searcher(
        self, searcher_id: str, service: str, zone: str, work_s: float = 0.005
    ) -> Searcher:
        """Start a searcher and list it as ready."""
        searcher = Searcher(self, searcher_id, service, zone, work_s)
        self.searchers.append(searcher)
        searcher.list()
        return searcher

    def add_gateway(self, zone: str) -> GatewayProcess:
        """Add a machine, on a loopback address of its own."""
        number = len(self.gateways) + 1
        pid = os.getpid()
        ip = f"127.{1 + pid % 250}.{1 + pid // 250 % 250}.{number}"
        ports = {}
        for name in ("front", "ready", "control"):
            with listen(ip) as probe:
                ports[name] = probe.getsockname()[1]
        gateway = GatewayProcess(self, number, zone, ip, ports)
        self.gateways.append(gateway)
        return gateway

    def publish(
        self, routes: list[dict], services: dict[str, int], limits: dict | None = None
    ) -> int:
        """Write the next version of the configuration, and return its number."""
        self.version += 2
        value = {
            "version": self.version,
            "routes": routes,
            "services": [
                {"name": name, "maxConnections": connections, "healthCheckPath": "/health"}
                for name, connections in services.items()
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 15000,
            }
            | (limits or {}),
        }
        self.store.put("op/config", value)
        return self.version

    def start(self, settle_s: float = 6.0) -> None:
        """Start all gateways, and wait until they are ready and know each other."""
        if not (ROOT / "target/deps/masticgate").is_dir():
            raise NotRunError("target/deps is missing: run the build of the deploy file first")
        for gateway in self.gateways:
            gateway.start()
        deadline = time.monotonic() + 20
        for gateway in self.gateways:
            while not gateway.is_ready():
                if time.monotonic() > deadline:
                    raise NotRunError(f"gateway {gateway.number} is not ready")
                time.sleep(0.05)
        time.sleep(settle_s)

    def client(self, gateway: GatewayProcess) -> Client:
        """Return a client of one gateway."""
        return Client(self, gateway.address("front"))

    def close(self) -> None:
        """End all processes and servers, and write the record."""
        for gateway in self.gateways:
            gateway.kill()
        for server in [*self.searchers, self.store]:
            server.stop()
        for path in self.folder.iterdir():
            if path.suffix == ".log":
                for line in path.read_text(errors="replace").splitlines():
                    with suppress(ValueError):
                        self.record.add("gateway_log", gateway=path.stem, line=json.loads(line))
            path.unlink()
        self.folder.rmdir()
        self.record.write(self.record_path)


def _give_up(number: int, _frame: object) -> None:
    raise NotRunError(f"ended by {signal.Signals(number).name}")


def main(folder: Path, run) -> None:
    """Run a case; ``run`` gets it and returns the descriptions of the breaks of the rule."""
    case = Case(folder)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _give_up)
    signal.alarm(MAX_RUN_S)
    status = EXIT_NOT_RUN
    try:
        problems = run(case)
        for problem in problems:
            case.record.add("broken", detail=problem)
            print(problem)
        print("the rule was broken" if problems else "the rule held")
        status = EXIT_BROKEN if problems else EXIT_HELD
    except NotRunError as error:
        print(f"the case could not run: {error}")
    finally:
        case.close()
        sys.stdout.flush()
        sys.stderr.flush()
        if sys.exc_info()[0] is None:
            os._exit(status)
