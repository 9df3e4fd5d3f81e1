"""Long requests that a searcher reads late, or answers before it has read them.

Guards against a connection that counts as idle meanwhile: the next request waits behind the unread
rest, and is run after its caller has left. Also guards against a task that waits until a searcher
reads on: it sees neither that its caller leaves nor that another searcher should be asked.
"""

import socket
from collections import Counter
from threading import Event, Lock
from time import monotonic

import pytest

from masticgate import Address, Millis, ServiceId, SystemClock
from masticgate.connection.gateway import HttpClient, _client
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.connection.gateway._request_sending import LONG_REQUEST_BYTES, RequestSending
from masticgate.request.gateway import Call
from masticgate.version.gateway import Idempotency

from .fakes import make_request, patient_route
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway
from .test_buffers import connect_pair

WAIT_S = 5.0
"""How long a test waits at most for what comes at once; the deadline of a request is 20 s."""

UNSENDABLE_BYTES = 900_000
"""The size of a body that the buffers of a connection do not hold."""

SENDABLE_BYTES = [LONG_REQUEST_BYTES + 1, 100_000, 250_000]
"""The sizes of bodies that they hold in part or whole while the searcher reads nothing."""

IDEMPOTENT_ROUTE = patient_route(kind=Idempotency.IDEMPOTENT)


@pytest.fixture(autouse=True)
def patient_kernel(monkeypatch):
    """Keep the kernel from ending connections to searchers that accept no bytes for 2 s."""
    monkeypatch.setattr(_client, "UNACKNOWLEDGED_TIMEOUT", Millis(60_000.0))


class LateReader(StandInSearcher):
    """A searcher that reads the bodies of long requests only after ``reads_on`` is set.

    If ``early_status`` is given, it answers them before that. ``bodies`` counts the requests of
    which it has read all, by their ids, and ``ended`` those whose connections ended before.
    """

    def __init__(self, early_status: int | None = None) -> None:
        self.early_status = early_status
        self.reads_on = Event()
        self.head_received = Event()
        self.connection_ended = Event()
        self.lock = Lock()
        self.bodies: Counter[bytes] = Counter()
        self.ended: Counter[bytes] = Counter()
        self.connections = 0
        super().__init__(reply_to)

    def _serve(self, connection: socket.socket) -> None:
        with self.lock:
            self.connections += 1
        with connection:
            data = b""
            while True:
                while b"\r\n\r\n" not in data:
                    if not (chunk := self._receive(connection)):
                        return
                    data += chunk
                head, _, data = data.partition(b"\r\n\r\n")
                request_id = head_value(head, b"x-id")
                length = int(head_value(head, b"content-length") or 0)
                is_long = length > LONG_REQUEST_BYTES
                if is_long:
                    self.head_received.set()
                    if self.early_status is not None:
                        connection.sendall(reply_to(head, b"early", self.early_status))
                    self.reads_on.wait(4 * WAIT_S)
                while len(data) < length and (chunk := self._receive(connection)):
                    data += chunk
                if len(data) < length:
                    self.ended[request_id] += 1
                    self.connection_ended.set()
                    return
                data = data[length:]
                self.bodies[request_id] += 1
                if not is_long or self.early_status is None:
                    connection.sendall(reply_to(head))

    def _receive(self, connection: socket.socket) -> bytes:
        try:
            return connection.recv(65_536)
        except OSError:
            return b""


def post(caller: RawCaller, size: int, request_id: str = "long") -> RawCaller:
    head = b"POST /a/x HTTP/1.1\r\nHost: host.example\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n"
    caller.send(head % (request_id.encode(), size) + bytes(size))
    return caller


def ask(gateway, request_id: str) -> int:
    """Return the status of a short request on a new connection; 0 if there is none in time."""
    caller = RawCaller(gateway)
    caller.socket.settimeout(WAIT_S)
    try:
        return caller.get(request_id=request_id, caller_timeout=20_000).read()[0]
    except TimeoutError:
        return 0


class TestEarlyAnswers:
    """A searcher answers a long request and reads it later, or never."""

    @pytest.mark.parametrize("size", [*SENDABLE_BYTES, UNSENDABLE_BYTES])
    def test_next_request_does_not_wait_behind_rejected_one(self, size):
        searcher = LateReader(early_status=413)
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [searcher]}) as gateway:
            assert ask(gateway, "first") == 200
            caller = RawCaller(gateway)
            assert post(caller, size).read()[0] == 413
            assert [ask(gateway, f"q{number}") for number in range(3)] == [200, 200, 200]
            assert gateway.metrics.counters["early_answers"] == 1
            searcher.reads_on.set()
        assert [searcher.bodies[b"q%d" % number] for number in range(3)] == [1, 1, 1]

    @pytest.mark.parametrize("size", [SENDABLE_BYTES[-1], UNSENDABLE_BYTES])
    def test_next_request_does_not_wait_behind_served_one(self, size):
        searcher = LateReader(early_status=200)
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [searcher]}) as gateway:
            assert ask(gateway, "first") == 200
            assert post(RawCaller(gateway), size).read()[0] == 200
            assert ask(gateway, "q1") == 200
            searcher.reads_on.set()

    def test_connection_is_kept_after_requests_that_were_read(self):
        """Guard against a new connection for each long request, or each rejection."""
        searcher = LateReader()
        searcher.reads_on.set()
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            for number in range(3):
                request_id = f"q{number}"
                assert post(caller, SENDABLE_BYTES[-1], request_id).read()[0] == 200
            assert gateway.metrics.counters["early_answers"] == 0
        assert searcher.connections == 1
        rejecting = StandInSearcher(lambda head: reply_to(head, status=404))
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [rejecting]}) as gateway:
            caller = RawCaller(gateway)
            for number in range(3):
                assert post(caller, LONG_REQUEST_BYTES // 2, f"q{number}").read()[0] == 404
            assert gateway.metrics.counters["early_answers"] == 0


class TestLateReaders:
    """A searcher that does not read on while a long request is sent to it."""

    @pytest.mark.parametrize("is_warm", [False, True])
    def test_request_ends_when_its_caller_leaves(self, is_warm):
        searcher = LateReader()
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [searcher]}) as gateway:
            if is_warm:
                assert ask(gateway, "first") == 200
            caller = post(RawCaller(gateway), UNSENDABLE_BYTES)
            assert searcher.head_received.wait(WAIT_S)
            caller.close()
            deadline = monotonic() + WAIT_S
            while gateway.fleet.replicas["orders-0"].in_flight and monotonic() < deadline:
                Event().wait(0.01)
            assert gateway.fleet.replicas["orders-0"].in_flight == 0
            searcher.reads_on.set()
            assert searcher.connection_ended.wait(WAIT_S)
        assert searcher.bodies[b"long"] == 0

    @pytest.mark.parametrize("is_warm", [False, True])
    def test_hedge_is_sent_and_its_answer_ends_the_request(self, is_warm):
        late, quick = LateReader(), LateReader()
        quick.reads_on.set()
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [late, quick]}) as gateway:
            gateway.fleet.hedge_delays.delay = lambda route: Millis(50.0)
            # The first request finds out which searcher the next one prefers.
            for number in range(4 if is_warm else 0):
                assert ask(gateway, f"first{number}") == 200
            gateway.fleet.replicas["orders-1"].raise_failure_rate(gateway.clock.now())
            caller = post(RawCaller(gateway), UNSENDABLE_BYTES)
            caller.socket.settimeout(WAIT_S)
            assert caller.read()[0] == 200
            assert late.head_received.is_set()
            late.reads_on.set()
            assert late.connection_ended.wait(WAIT_S)
            # Ending it is no failure of the searcher.
            deadline = monotonic() + WAIT_S
            while gateway.fleet.replicas["orders-0"].in_flight and monotonic() < deadline:
                Event().wait(0.01)
            assert gateway.fleet.replicas["orders-0"].consecutive_failures == 0
            assert gateway.metrics.counters["searcher_failures"] == 0
        assert (late.bodies[b"long"], quick.bodies[b"long"]) == (0, 1)

    def test_rest_is_sent_once_it_is_read(self):
        searcher = LateReader()
        with running_gateway([IDEMPOTENT_ROUTE], {"orders": [searcher]}) as gateway:
            caller = post(RawCaller(gateway), UNSENDABLE_BYTES)
            assert searcher.head_received.wait(WAIT_S)
            searcher.reads_on.set()
            caller.socket.settimeout(WAIT_S)
            assert caller.read()[0] == 200
        assert searcher.bodies[b"long"] == 1


def make_call(inbox: RequestInbox) -> Call:
    return Call(make_request(), IDEMPOTENT_ROUTE, ServiceId("orders"), Millis(400.0), inbox)


class RecordingSending:
    """A request that is never sent completely; it records whether it was aborted."""

    def __init__(self) -> None:
        self.aborted = False

    def advance(self):
        return True

    def fileno(self):
        return -1

    def abort(self):
        self.aborted = True


class TestRequestInbox:
    def make_inbox(self) -> tuple[RequestInbox, socket.socket]:
        near, far = connect_pair()
        return RequestInbox(WakeableSocket(near, SystemClock())), far

    def test_drops_request_whose_connection_is_closed(self):
        """Guard against a wait for a descriptor that is closed, or that another file has now."""
        inbox, caller = self.make_inbox()
        near, far = connect_pair()
        client = HttpClient(Address("127.0.0.1:9"), SystemClock())
        client.socket = near
        sending = RequestSending(client, (bytes(4_000_000),))
        assert sending.advance()
        inbox.finish_sending(make_call(inbox), sending)
        client.close()
        clock = inbox.wakeable_socket.clock
        assert inbox.wait(Millis(clock.now() + 50.0)) is None
        assert not inbox.sendings and not sending.is_complete
        far.close()
        caller.close()

    def test_close_cancels_what_is_not_sent(self):
        inbox, caller = self.make_inbox()
        calls = make_call(inbox), make_call(inbox)
        sendings = RecordingSending(), RecordingSending()
        inbox.finish_sending(calls[0], sendings[0])
        inbox.close()
        inbox.finish_sending(calls[1], sendings[1])
        assert all(sending.aborted for sending in sendings) and not inbox.sendings
        assert all(call.cancelled for call in calls)
        caller.close()
