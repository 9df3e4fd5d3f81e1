"""Real gateway processes between stand-ins, under random faults from outside them.

What callers are told is checked against what the searchers logged.
"""

import base64
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

from .loopback import RESET_AT_CLOSE, ConnectionEnd, StandInSearcher, head_value

GATEWAYS = 3
SHARDS = 4
REPLICAS = 2
CALLERS = 9
DRAIN_S = 3.0
GRACE_S = 6.0
SETTLE_S = 4.0
"""What a gateway needs after its last disturbance before time bounds hold for it again."""

ATTEMPTS = 2
"""The searchers that one request may be sent to, for each shard."""

LOST_ALWAYS = 0.02
"""The share of answers that are lost after their run, also without a fault."""

SECOND_ALWAYS = 0.05
"""The share of answers that come twice, or without a length, also without a fault."""

IDLE_S = 0.01
"""After an answer its connection is idle at the gateway by then."""

RECORD_BYTES = 16

HOST = "soak.example"
SOURCE = Path(__file__).resolve().parents[2] / "src"


class Mode(Enum):
    """What a proxy does to its connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one_way"
    SILENT = "silent"


class Proxy:
    """A loopback proxy before one server."""

    def __init__(self, target: str) -> None:
        number, _, port = target.rpartition(":")
        self.target = (number, int(port))
        self.mode = Mode.PASS
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.open: set[socket.socket] = set()
        self.broken: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def turn(self, mode: Mode) -> None:
        self.mode = mode
        if mode is Mode.RESET:
            self._break(*self.open)

    def _accept(self) -> None:
        with suppress(OSError):
            while True:
                near, _ = self.listener.accept()
                threading.Thread(target=self._serve, args=(near,), daemon=True).start()

    def _serve(self, near: socket.socket) -> None:
        with suppress(OSError), near, socket.create_connection(self.target) as far:
            self.open |= {near, far}
            back = threading.Thread(target=self._pump, args=(far, near, True), daemon=True)
            back.start()
            self._pump(near, far, False)
            back.join()
            self.open -= {near, far}
        self.broken -= {near, far}

    def _break(self, *ends: socket.socket) -> None:
        """Wake the tasks that read from both ends, which then close by a reset."""
        self.broken |= {*ends}
        for end in ends:
            with suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                end.shutdown(socket.SHUT_RD)

    def _pump(self, source: socket.socket, sink: socket.socket, answers: bool) -> None:
        try:
            while data := source.recv(65_536):
                if self.mode is Mode.DELAY:
                    time.sleep(0.05)
                while self.mode is Mode.SILENT or (self.mode is Mode.ONE_WAY and answers):
                    time.sleep(0.02)
                sink.sendall(data)
        except OSError:
            self._break(source, sink)
        for end in (source, sink):
            with suppress(OSError):
                end.shutdown(socket.SHUT_RD if end in self.broken else socket.SHUT_RDWR)


class Second(Enum):
    """How a searcher answers other than once and with a length."""

    AT_ONCE = "at once"
    WHILE_IDLE = "while idle"
    BEFORE_THE_NEXT = "before the next"
    UNFRAMED_BEFORE_THE_NEXT = "unframed before the next"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed reset"


@dataclass(frozen=True)
class Sent:
    """What a searcher sends for one request; ``late`` follows right before the next answer."""

    data: bytes
    idle: bytes = b""
    late: bytes = b""
    end: ConnectionEnd = ConnectionEnd.OPEN


class Searcher(StandInSearcher):
    """Logs each run, and misbehaves as told."""

    def __init__(self, identity: str, service: str, source: random.Random) -> None:
        self.identity = identity
        self.service = service
        self.source = source
        self.trouble = 0.0
        self.slow = 0.0
        self.runs: list[tuple[str, float]] = []
        self.lost: list[str] = []
        self.drained_at: float | None = None
        super().__init__(lambda head: None)
        self.proxy = Proxy(self.address)

    def _serve(self, connection: socket.socket) -> None:
        late = b""
        with connection, suppress(OSError):
            while head := self._read(connection):
                sent = self.serve(head)
                connection.sendall(late + sent.data)
                if late and not is_framed(late):
                    self.note_lost(request_of(head))
                    return
                if sent.idle:
                    time.sleep(IDLE_S)
                    connection.sendall(sent.idle)
                if sent.end is ConnectionEnd.RESET:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                if sent.end is not ConnectionEnd.OPEN:
                    return
                late = sent.late

    def note_lost(self, request: str) -> None:
        if request not in self.lost:
            self.lost.append(request)

    def serve(self, head: bytes) -> Sent:
        request = request_of(head)
        if head_value(head, b"x-masticgate-expected-instance").decode() != self.identity:
            return self.repeat(self.reply(request, 421, b"", b""))
        if self.source.random() < self.trouble / 2:
            refusal = self.reply(request, 503, b"x-masticgate-not-executed: 1\r\n", b"")
            return self.repeat(refusal)
        self.runs.append((request, time.monotonic()))
        time.sleep(0.002 + self.slow)
        stamp = f"{request}.{self.identity}.{self.service}"
        body = b"".join(sorted(records_of(request, self.service)))
        answer = self.reply(
            request, 200, b"x-masticgate-server-stamp: %s\r\n" % stamp.encode(), body
        )
        if self.source.random() < LOST_ALWAYS + self.trouble / 4:
            self.note_lost(request)
            return Sent(b"", end=ConnectionEnd.ORDERLY)
        return self.repeat(answer, request)

    def repeat(self, answer: bytes, request: str = "") -> Sent:
        """Answer once, or at times in another way; that of a ``request`` may be lost."""
        if self.source.random() > SECOND_ALWAYS + self.trouble / 2:
            return Sent(answer)
        match self.source.choice(list(Second)):
            case Second.AT_ONCE:
                return Sent(answer + answer)
            case Second.WHILE_IDLE if self.trouble:
                return Sent(answer, idle=answer)
            case Second.BEFORE_THE_NEXT:
                return Sent(answer, late=answer)
            case Second.UNFRAMED_BEFORE_THE_NEXT:
                return Sent(answer, late=unframed(answer))
            case Second.UNFRAMED:
                return Sent(unframed(answer), end=ConnectionEnd.ORDERLY)
            case Second.UNFRAMED_RESET if request:
                self.note_lost(request)
                return Sent(unframed(answer)[:-RECORD_BYTES], end=ConnectionEnd.RESET)
            case _:
                return Sent(answer)

    def reply(self, request: str, status: int, extra: bytes, body: bytes) -> bytes:
        return b"HTTP/1.1 %d X\r\nx-masticgate-request-id: %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
            status,
            request.encode(),
            extra,
            len(body),
            body,
        )


def request_of(head: bytes) -> str:
    return head_value(head, b"x-masticgate-request-id").decode()


def is_framed(answer: bytes) -> bool:
    return b"Content-Length" in answer


def unframed(answer: bytes) -> bytes:
    """Return an answer without its length."""
    head, _, body = answer.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    return b"\r\n".join((*lines, b"", body))


def records_of(request: str, service: str) -> list[bytes]:
    """Return the records that a service holds for a request."""
    source = random.Random(f"{request} {service}")
    return [source.randbytes(16) for _ in range(3)]


class Store:
    """The platform's store: items by key, and a history that it may forget."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.revision = 1
        self.oldest = 1
        self.server = StandInSearcher(self.answer)
        self.proxy = Proxy(self.server.address)

    def put(self, key: str, value: object) -> None:
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._note(key, {"key": key, "value": text})

    def remove(self, key: str) -> None:
        self._note(key, {"key": key, "removed": True})

    def forget(self) -> None:
        with self.changed:
            self.history.clear()
            self.oldest = self.revision

    def _note(self, key: str, item: dict) -> None:
        with self.changed:
            self.revision += 1
            item["revision"] = self.revision
            self.history.append(item)
            self.items.pop(key, None)
            if not item.get("removed"):
                self.items[key] = item
            self.changed.notify_all()

    def answer(self, head: bytes) -> bytes:
        url = urlsplit(head.split(b" ")[1].decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with self.changed:
            if url.path.endswith("kv-key"):
                item = self.items.get(query["key"])
                found = None if item is None else item | {"currentRev": self.revision}
                return self._reply(200 if found else 404, found or {})
            if url.path.endswith("kv-range"):
                items = [self.items[key] for key in sorted(self.items)]
                return self._reply(200, {"items": items, "currentRev": self.revision})
            after = int(query["after"])
            if after < self.oldest:
                return self._reply(410, {})
            self.changed.wait_for(lambda: self.revision > after, int(query["waitMs"]) / 1000)
            events = [item for item in self.history if item["revision"] > after]
            return self._reply(200, {"events": events, "currentRev": self.revision})

    def _reply(self, status: int, body: dict) -> bytes:
        data = json.dumps(body).encode()
        return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data)


@dataclass
class Told:
    """One answer that a caller got."""

    request: str
    path: str
    status: int
    headers: dict[str, str]
    body: bytes


def gateway_address(number: int) -> str:
    """Return an address of this run's own, so that runs beside each other do not meet."""
    process = os.getpid()
    return f"127.{1 + process % 250}.{number}.{1 + process // 250 % 250}"


class GatewayProcess:
    """One real gateway, started and stopped from outside."""

    def __init__(self, number: int, folder: Path, store: Store) -> None:
        self.ip = gateway_address(number)
        self.number = number
        self.path = folder / f"g{number}.toml"
        self.log = folder / f"g{number}.log"
        self.store = Proxy(store.proxy.address)
        self.path.write_text(self.settings())
        self.disturbed_at = 0.0
        self.lock = threading.Lock()
        self.process: subprocess.Popen | None = None

    def settings(self) -> str:
        ports = {"front": 8104, "ready": 8108, "control": 8106}
        listen = "\n".join(f'{name} = "{self.ip}:{port}"' for name, port in ports.items())
        seeds = ", ".join(f'"{gateway_address(number)}:8106"' for number in range(1, GATEWAYS + 1))
        return (
            f'nodeName = "g{self.number}"\nip = "{self.ip}"\nzone = "z{self.number}"\n'
            f"seedNodes = [{seeds}]\n[bindAddresses]\n{listen}\n[bounds]\ngraceS = {GRACE_S}\n"
            f"drainMs = {DRAIN_S * 1000}\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\n"
            f'budgetSlack = 50\n[platform]\naddress = "{self.store.address}"\n'
        )

    def start(self) -> None:
        environment = {
            "PYTHONPATH": str(SOURCE),
            "MASTICGATE_NODE_FILE": str(self.path),
            "PATH": os.environ["PATH"],
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "masticgate.platform"],
                stdout=log,
                stderr=log,
                env=environment,
            )
        self.disturbed_at = time.monotonic()

    def signal(self, number: int) -> None:
        self.disturbed_at = time.monotonic()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def restart(self, number: int) -> None:
        """End the process by a signal and start another."""
        with self.lock:
            assert self.process is not None
            self.signal(number)
            try:
                self.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
            self.start()


@dataclass
class Soak:
    """One run; the same seed plans the same faults."""

    seed: int
    folder: Path
    told: list[Told] = field(default_factory=list)
    problems: list[str] = field(default_factory=list)

    def run(self, seconds: float) -> None:
        self.source = random.Random(self.seed)
        self.ending = threading.Event()
        self.store = Store()
        self.searchers: list[Searcher] = []
        self.version = 1
        for shard in range(SHARDS):
            for replica in range(REPLICAS):
                self.add_searcher(f"s{shard}", f"s{shard}-{replica}")
        for replica in range(REPLICAS):
            self.add_searcher("orders", f"orders-{replica}")
        self.publish()
        self.gateways = [
            GatewayProcess(number, self.folder, self.store) for number in range(1, GATEWAYS + 1)
        ]
        for gateway in self.gateways:
            gateway.start()
        try:
            self.wait_ready()
            callers = [
                threading.Thread(target=self.call, args=(number,)) for number in range(CALLERS)
            ]
            for caller in callers:
                caller.start()
            self.disturb(seconds)
            self.check_recovery()
            self.ending.set()
            for caller in callers:
                caller.join(10)
        finally:
            self.ending.set()
            for gateway in self.gateways:
                if gateway.process is not None:
                    gateway.process.kill()
                    gateway.process.wait()
        self.audit()

    def add_searcher(self, service: str, identity: str) -> None:
        searcher = Searcher(identity, service, random.Random(f"{self.seed} {identity}"))
        self.searchers.append(searcher)
        self.list_searcher(searcher, "ready")

    def list_searcher(self, searcher: Searcher, state: str) -> None:
        entry = {
            "service": searcher.service,
            "address": searcher.proxy.address,
            "zone": f"z{1 + len(searcher.identity) % GATEWAYS}",
            "version": "v1",
            "slots": 2,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self.store.put(f"servers/{searcher.identity}", entry)

    def publish(self) -> None:
        common = {
            "hostname": HOST,
            "maxAttempts": ATTEMPTS,
            "timeoutMs": 1000,
            "targetLatencyMs": 150,
        }
        shards = [f"s{number}" for number in range(SHARDS)]
        routes = [
            common
            | {"name": "all", "prefix": "/all/", "type": "idempotent", "fanoutServices": shards}
            | {"topK": 5, "minShardRatio": 0.5},
            common | {"name": "one", "prefix": "/one/", "type": "idempotent", "service": "orders"},
            common
            | {"name": "book", "prefix": "/book/", "type": "non_idempotent", "service": "orders"},
        ]
        services = [{"name": name, "maxConnections": 24} for name in [*shards, "orders"]]
        config = {"version": self.version, "routes": routes, "services": services, "limits": {}}
        self.store.put("op/config", config)
        self.version += 3

    def wait_ready(self) -> None:
        deadline = time.monotonic() + 15
        for gateway in self.gateways:
            while not self.is_ready(gateway):
                if time.monotonic() > deadline:
                    raise AssertionError(f"{gateway.ip} is not ready")
                time.sleep(0.05)

    def is_ready(self, gateway: GatewayProcess) -> bool:
        connection = http.client.HTTPConnection(gateway.ip, 8108, timeout=1)
        try:
            connection.request("GET", "/v1/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def call(self, number: int) -> None:
        """Keep one connection open and use it until the gateway closes it."""
        source = random.Random(f"{self.seed} caller {number}")
        gateway = self.gateways[number % GATEWAYS]
        connection = http.client.HTTPConnection(gateway.ip, 8104, timeout=3)
        sequence = 0
        while not self.ending.wait(source.uniform(0.0, 0.03)):
            sequence += 1
            request = f"{self.seed}-{number}-{sequence}"
            path = source.choice(["/all/x", "/all/x", "/one/x", "/book/x"])
            method = "POST" if path == "/book/x" else "GET"
            headers = {
                "Host": HOST,
                "X-Masticgate-Request-Id": request,
                "X-Masticgate-Deadline-Ms": "800",
            }
            try:
                connection.request(method, path, b"order" if method == "POST" else None, headers)
                response = connection.getresponse()
                fields = {name.lower(): value for name, value in response.getheaders()}
                self.told.append(Told(request, path, response.status, fields, response.read()))
            except (OSError, http.client.HTTPException):
                connection.close()
                time.sleep(0.05)

    def disturb(self, seconds: float) -> None:
        """Plan faults in series that overlap, and end all of them."""
        until = time.monotonic() + seconds
        faults = []
        while time.monotonic() < until:
            fault = threading.Thread(target=self.source.choice(FAULTS), args=(self,))
            fault.start()
            faults.append(fault)
            time.sleep(self.source.uniform(0.2, 1.2))
        for fault in faults:
            fault.join()

    def check_recovery(self) -> None:
        """All requests are served again once nothing is disturbed any more.

        Searchers lose a few answers all the time; who was sent a request as often as it may be,
        and lost each answer, is no failure of a gateway.
        """
        self.wait_ready()
        time.sleep(SETTLE_S)
        start = len(self.told)
        time.sleep(2.0)
        told = self.told[start:]
        failed = [t for t in told if t.status != 200 and not self.is_lost_everywhere(t)]
        if failed or len(told) < 20:
            names = [(t.request, t.path, t.status, self.losses(t.request)) for t in failed]
            self.problems.append(f"not recovered: {names} of {len(told)}")

    def is_lost_everywhere(self, told: Told) -> bool:
        """Tell whether every answer that the gateway was allowed to ask for was lost."""
        allowed = {"/book/x": 1, "/one/x": ATTEMPTS}.get(told.path)
        return told.status == 502 and self.losses(told.request) == allowed

    def losses(self, request: str) -> int:
        """Return how many searchers ran a request and lost its answer."""
        return sum(searcher.lost.count(request) for searcher in self.searchers)

    def audit(self) -> None:
        """Compare what callers were told with what the searchers ran."""
        runs: dict[str, list[str]] = defaultdict(list)
        for searcher in self.searchers:
            for request, at in searcher.runs:
                runs[request].append(searcher.identity)
                drained = searcher.drained_at
                if drained is not None and at > drained + DRAIN_S and not self.disturbed(at):
                    self.problems.append(f"{searcher.identity} ran {request} after its drain")
        for told in self.told:
            self.audit_answer(told, runs[told.request])
        booked = {told.request for told in self.told if told.path == "/book/x"}
        for request in booked:
            if len(runs[request]) > 1:
                self.problems.append(f"{request} ran at {runs[request]}")

    def audit_answer(self, told: Told, runs: list[str]) -> None:
        if told.status in (408, 421, 429, 503) and told.path == "/book/x" and runs:
            self.problems.append(f"{told.request} was refused and ran at {runs}")
        if told.status in (400, 404):
            self.problems.append(f"{told.request} was denied with {told.status}")
        if told.status != 200:
            return
        if told.path == "/all/x":
            self.audit_merged(told)
            return
        stamp = told.headers.get("x-masticgate-server-stamp", "")
        if not stamp.startswith(f"{told.request}."):
            self.problems.append(f"{told.request} got the stamp {stamp}")
        if told.body != b"".join(sorted(records_of(told.request, "orders"))):
            self.problems.append(f"{told.request} got another body")

    def audit_merged(self, told: Told) -> None:
        stamps = [part.split(".") for part in told.headers["x-masticgate-part-stamps"].split(", ")]
        services = [part[2] for part in stamps]
        missing = int(told.headers["x-masticgate-missing-parts"])
        right = all(part[0] == told.request for part in stamps)
        whole = len(set(services)) == len(services) and len(services) + missing == SHARDS
        if not right or not whole or len(services) * 2 < SHARDS:
            self.problems.append(f"{told.request} names {stamps} and {missing} missing")
        records = [record for name in services for record in records_of(told.request, name)]
        if told.body != b"".join(sorted(records, reverse=True)[:5]):
            self.problems.append(f"{told.request} is no merge of its parts")

    def disturbed(self, at: float) -> bool:
        """Tell whether a gateway was disturbed shortly before; it may not know of a drain then."""
        return any(at - gateway.disturbed_at < SETTLE_S + GRACE_S for gateway in self.gateways)


LONGEST_FAULT_S = 4.0


def pause(soak: Soak) -> None:
    gateway = soak.source.choice(soak.gateways)
    gateway.signal(signal.SIGSTOP)
    time.sleep(soak.source.uniform(0.5, 3.0))
    gateway.signal(signal.SIGCONT)


def kill(soak: Soak) -> None:
    soak.source.choice(soak.gateways).restart(signal.SIGKILL)


def stop(soak: Soak) -> None:
    gateway = soak.source.choice(soak.gateways)
    gateway.signal(signal.SIGHUP)
    gateway.restart(signal.SIGTERM)


def cut_store(soak: Soak) -> None:
    proxy = soak.source.choice([soak.store.proxy, *(g.store for g in soak.gateways)])
    for gateway in soak.gateways:
        gateway.disturbed_at = time.monotonic()
    hold(proxy, soak)
    for gateway in soak.gateways:
        gateway.disturbed_at = time.monotonic()


def forget_history(soak: Soak) -> None:
    soak.store.forget()


def harm_link(soak: Soak) -> None:
    hold(choose_searcher(soak).proxy, soak)


def choose_searcher(soak: Soak) -> Searcher:
    """Return a searcher in use; bookings have few, so those are chosen more often."""
    used = [searcher for searcher in soak.searchers if searcher.drained_at is None]
    orders = [searcher for searcher in used if searcher.service == "orders"]
    return soak.source.choice(orders if soak.source.random() < 0.4 else used)


def hold(proxy: Proxy, soak: Soak) -> None:
    proxy.turn(soak.source.choice([Mode.DELAY, Mode.RESET, Mode.ONE_WAY, Mode.SILENT]))
    time.sleep(soak.source.uniform(0.3, LONGEST_FAULT_S))
    proxy.turn(Mode.PASS)


def spoil_searcher(soak: Soak) -> None:
    searcher = choose_searcher(soak)
    searcher.trouble, searcher.slow = 0.8, soak.source.choice([0.0, 0.1])
    time.sleep(soak.source.uniform(0.5, LONGEST_FAULT_S))
    searcher.trouble, searcher.slow = 0.0, 0.0


def replace_searcher(soak: Soak) -> None:
    """Drain one searcher and list another in its place."""
    old = soak.source.choice([s for s in soak.searchers if s.drained_at is None])
    soak.add_searcher(old.service, f"{old.service}-{len(soak.searchers)}")
    soak.list_searcher(old, "draining")
    old.drained_at = time.monotonic()
    time.sleep(1.0)
    soak.store.remove(f"servers/{old.identity}")


def change_configuration(soak: Soak) -> None:
    soak.publish()


FAULTS = [
    pause,
    kill,
    stop,
    cut_store,
    forget_history,
    harm_link,
    harm_link,
    spoil_searcher,
    spoil_searcher,
    replace_searcher,
    change_configuration,
]
