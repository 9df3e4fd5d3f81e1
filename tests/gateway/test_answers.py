"""An answer is a call's own and whole, or the call has none, whatever else a connection carries."""

import random
import select
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from threading import Event

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from masticgate import (
    Address,
    ManualClock,
    Millis,
    NotRun,
    Reason,
    SearcherId,
    ServiceId,
    Step,
    SystemClock,
)
from masticgate.connection.gateway import SearcherTask
from masticgate.connection.gateway._response_parser import ResponseParser
from masticgate.process.gateway._catalogue import PEER_SERVICE
from masticgate.process.gateway._peers import GatherAtPeers
from masticgate.request.gateway import (
    Answered,
    Call,
    Declined,
    Failed,
    Lost,
    Merged,
    Refused,
    run_gather,
)
from masticgate.version.gateway import Shards

from .fakes import HEADER_NAMES, ScriptedCall, make_entry, make_request, make_route
from .loopback import (
    RESET_AT_CLOSE,
    BreakingSearcher,
    ConnectionEnd,
    RawCaller,
    RepeatingSearcher,
    head_value,
    running_gateway,
)
from .test_buffers import UnreadInbox, connect_pair

EXAMPLES = 400
STATUS_LINE_START = 9
"""The bytes of ``HTTP/1.1`` and a space."""


class Framing(Enum):
    """How an answer tells where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class Moment(Enum):
    """When the next call is given to a connection that has become idle."""

    AT_FINISH = "at finish"
    BEFORE_RECEIVE = "before receive"
    IN_RECEIVE = "in receive"


@dataclass(frozen=True)
class Message:
    """One answer as its searcher meant it."""

    identity: str | None
    status: int
    body: bytes
    framing: Framing = Framing.LENGTH
    not_run: bool = False
    order: tuple[int, ...] = (0, 1, 2, 3, 4)
    part: str = ""

    @property
    def stamp(self) -> str:
        return f"stamp-{self.identity}-{self.status}{self.part}"

    @property
    def refusal(self) -> bool:
        return self.not_run or self.status == 421

    @property
    def head(self) -> bytes:
        lines = [
            b"" if self.identity is None else b"x-id: %s\r\n" % self.identity.encode(),
            b"" if self.refusal else b"x-stamp: %s\r\n" % self.stamp.encode(),
            self._framing(),
            b"Server: stand-in\r\n",
            b"x-not-run: 1\r\n" if self.not_run else b"",
        ]
        line = b"HTTP/1.1 %d Some Reason\r\n" % self.status
        return line + b"".join(lines[place] for place in self.order) + b"\r\n"

    def encode(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.head + self.body
        half = len(self.body) // 2
        chunks = [part for part in (self.body[:half], self.body[half:]) if part]
        sized = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks)
        return self.head + sized + b"0\r\n\r\n"

    def _framing(self) -> bytes:
        match self.framing:
            case Framing.LENGTH:
                return b"Content-Length: %d\r\n" % len(self.body)
            case Framing.CHUNKED:
                return b"Transfer-Encoding: chunked\r\n"
            case Framing.CLOSE:
                return b""


def records(identity: str, count: int) -> bytes:
    """Return records that no other identity has."""
    return random.Random(identity).randbytes(16 * count)


@dataclass(frozen=True)
class Exchange:
    """One request and all that its searcher sends because of it.

    ``late`` follows once the connection is idle, but for its bytes from ``split`` on: they come
    before the answer to the next request.
    """

    message: Message
    sent: bytes
    end: ConnectionEnd = ConnectionEnd.OPEN
    late: bytes = b""
    split: int = 0
    moment: Moment = Moment.BEFORE_RECEIVE
    cuts: tuple[int, ...] = ()


class StagedSocket(socket.socket):
    """Lets the far end go one step on whenever the reader has taken all that was sent."""

    def __init__(self, plain: socket.socket, conversation: "Conversation") -> None:
        super().__init__(fileno=plain.detach())
        self.conversation = conversation

    def recv_into(self, buffer, size=0, flags=0):
        poller = select.poll()
        poller.register(self, select.POLLIN)
        if not poller.poll(0):
            next(self.conversation.script)
        count = super().recv_into(buffer, size, flags)
        self.conversation.received()
        return count


class Conversation:
    """Plays exchanges over one real connection, in one thread, and keeps their calls."""

    def __init__(self, exchanges: list[Exchange], last: Call | None = None) -> None:
        near, self.far = connect_pair()
        self.last = last
        self.waiting = list(exchanges)
        self.calls: list[tuple[Exchange, Call]] = []
        self.given_in_receive = False
        self.script = self._play()
        self.task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), self, HEADER_NAMES, ManualClock()
        )
        self.task.client.socket = self.near = StagedSocket(near, self)

    def run(self) -> list[tuple[Exchange, Call]]:
        self.task.run()
        self.far.close()
        return self.calls

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        if reusable and self.calls[-1][0].moment is Moment.AT_FINISH:
            self._give()

    def handle_close(self, task, *, connected):
        pass

    def record_violation(self, task, violation):
        pass

    def received(self) -> None:
        if self.given_in_receive:
            self.given_in_receive = False
            self._give()

    def _give(self) -> None:
        """Give the next call, as another task would."""
        if not self.waiting:
            return
        exchange = self.waiting.pop(0)
        call = self.last if self.last and not self.waiting else None
        call = call or make_call(exchange.message.identity)
        self.calls.append((exchange, call))
        assert self.task.dispatch(call)

    def _play(self) -> Iterator[None]:
        """Do what the searcher does, until the connection ends; each step is one to receive."""
        pending = b""
        number = 0
        while self._is_given(number):
            exchange, call = self.calls[number]
            yield from self._send(pending + exchange.sent, exchange.cuts)
            if exchange.end is not ConnectionEnd.OPEN:
                self._end(exchange.end)
                yield
            number += 1
            pending = exchange.late
            if call.outcome is None:
                yield from self._send(pending, exchange.cuts)
                break
            if number == len(self.calls) and exchange.split:
                self.given_in_receive = exchange.moment is Moment.IN_RECEIVE
                yield from self._send(pending[: exchange.split], exchange.cuts)
                pending = pending[exchange.split :]
        self.task.close()
        yield

    def _is_given(self, number: int) -> bool:
        if number == len(self.calls):
            self._give()
        return number < len(self.calls)

    def _send(self, data: bytes, cuts: tuple[int, ...]) -> Iterator[None]:
        places = sorted({cut % len(data) for cut in cuts}) if data else []
        for start, stop in zip([0, *places], [*places, len(data)], strict=True):
            if start < stop:
                self.far.sendall(data[start:stop])
                yield

    def _end(self, end: ConnectionEnd) -> None:
        """Close the connection; a request that was not received would make that a reset."""
        if end is ConnectionEnd.RESET:
            self.far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        else:
            self.far.recv(65_536)
        self.far.close()


def make_call(identity: str) -> Call:
    request = replace(make_request(identity), headers=((b"x-id", identity.encode()),))
    return Call(request, make_route(), ServiceId("orders"), Millis(400.0), UnreadInbox())


def field_values(answer: Answered, name: bytes) -> list[bytes]:
    return [value for key, value in answer.headers if key.lower() == name]


def check(exchange: Exchange, call: Call) -> None:
    """Fail where a call got what its searcher did not mean for it."""
    message = exchange.message
    match call.outcome:
        case Answered() as answer:
            assert not message.refusal
            assert (answer.status, answer.stamp) == (message.status, message.stamp)
            assert answer.body == message.body
            assert field_values(answer, HEADER_NAMES.request_id) == [message.identity.encode()]
            assert field_values(answer, HEADER_NAMES.stamp) == [message.stamp.encode()]
        case Declined():
            assert message.refusal
        case Lost():
            return
        case None:
            raise AssertionError("a call without an outcome")


JUNK = [
    b"\0" * 20,
    b"garbage\r\n\r\n",
    b"\r\n",
    b"x-id: q0\r\n\r\n",
    b"HTTP/1.1 ",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
]
INTERIM = [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"]
STATUSES = [(200, False)] * 6 + [
    (500, False),
    (404, False),
    (204, False),
    (503, True),
    (421, False),
]
KINDS = ["whole"] * 6 + ["interim", "other", "none", "junk"]
FRAMINGS = [Framing.LENGTH] * 3 + [Framing.CHUNKED, Framing.CLOSE]
ENDS = [ConnectionEnd.OPEN] * 6 + [ConnectionEnd.ORDERLY, ConnectionEnd.RESET, ConnectionEnd.RESET]


@dataclass(frozen=True)
class Part:
    """Some of the bytes that a searcher sends; ``missing`` is what a cut answer lacks."""

    data: bytes
    unframed: bool = False
    missing: int = 0


def is_decidable(parts: list[Part], end: ConnectionEnd) -> bool:
    """Tell whether a receiver can know the part that is an answer to the call and whole."""
    for place, part in enumerate(parts):
        behind = parts[place + 1 :]
        # An answer without a length ends with its connection, as does what stands behind it.
        if part.unframed and end is ConnectionEnd.ORDERLY and (part.missing or behind):
            return False
        # Bytes that fill up a cut answer are told from it only if they look like a next one.
        if part.missing and any(other.data in JUNK for other in behind):
            return False
        if 0 < part.missing < STATUS_LINE_START and behind:
            return False
    return True


@st.composite
def messages(draw, identity: str, part: str = "") -> Message:
    status, not_run = draw(st.sampled_from(STATUSES))
    empty = status == 204
    return Message(
        identity,
        status,
        b"" if empty else records(identity + part, draw(st.sampled_from([0, 1, 3, 20, 300]))),
        Framing.LENGTH if empty else draw(st.sampled_from(FRAMINGS)),
        not_run,
        tuple(draw(st.permutations(range(5)))),
        part,
    )


def cut_places(message: Message, data: bytes) -> list[int]:
    """Return where an answer may be cut: within its head, at the edges of lines, in its body."""
    head = len(message.head)
    edges = [place for place in range(1, head) if data[place - 1 : place] in (b" ", b"\r", b"\n")]
    return [place for place in (*edges, *range(1, len(data), 7)) if place < len(data)]


@st.composite
def parts(draw, message: Message, cut: bool) -> Part:
    """Return an answer, which may have another framing or be cut short."""
    if message.status != 204 and draw(st.booleans()):
        message = replace(message, framing=draw(st.sampled_from(FRAMINGS)))
    data = message.encode()
    kept = draw(st.sampled_from(cut_places(message, data))) if cut else len(data)
    return Part(data[:kept], message.framing is Framing.CLOSE, len(data) - kept)


@st.composite
def first_parts(draw, message: Message, cut: int) -> list[Part]:
    """Return what a searcher sends where an answer is due, cut short as often as told."""
    match draw(st.sampled_from(KINDS + ["cut"] * cut)):
        case "interim":
            return [Part(draw(st.sampled_from(INTERIM))), draw(parts(message, False))]
        case "cut":
            return [draw(parts(message, True))]
        case "other":
            return [draw(parts(replace(message, identity="other", body=records("o", 2)), False))]
        case "none":
            return [draw(parts(replace(message, identity=None, body=records("n", 2)), False))]
        case "junk":
            return [Part(draw(st.sampled_from(JUNK))), draw(parts(message, False))]
        case _:
            return [draw(parts(message, False))]


@st.composite
def exchanges(draw, identity: str, cut_open: bool = False, part: str = "") -> Exchange:
    """Return an exchange; answers are cut on open connections only if ``cut_open``."""
    message = draw(messages(identity, part))
    end = draw(st.sampled_from(ENDS))
    sent = draw(first_parts(message, 4 if cut_open or end is not ConnectionEnd.OPEN else 0))
    copied = cut_open and draw(st.booleans())
    goes_on = cut_open or not sent[-1].missing
    for _ in range(draw(st.sampled_from([0, 0, 0, 1, 2])) if goes_on else 0):
        sent.append(draw(st.sampled_from(JUNK).map(Part) | parts(message, copied)))
    late = []
    if draw(st.sampled_from([True] * (3 if cut_open else 1) + [False])):
        late = [draw(parts(message, cut_open and draw(st.booleans())))]
    assume(is_decidable(sent + (late if end is ConnectionEnd.OPEN else []), end))
    data, data_late = (b"".join(part.data for part in group) for group in (sent, late))
    split = draw(st.sampled_from([0, 0, 0, len(data_late), len(data_late) // 3]))
    cuts = tuple(draw(st.lists(st.integers(0, 600), max_size=3)))
    return Exchange(message, data, end, data_late, split, draw(st.sampled_from(Moment)), cuts)


@st.composite
def series(draw, cut_open: bool) -> list[Exchange]:
    return [draw(exchanges(f"q{number}", cut_open)) for number in range(draw(st.integers(1, 4)))]


QUERY = "query"
TOP = 5
LEAST_SHARE = 0.5
Plans = dict[str, list[list[Exchange]]]


@st.composite
def queries(draw) -> Plans:
    """Return for each shard what two of its searchers send before the query and because of it."""
    return {
        f"s{shard}": [
            draw(st.lists(exchanges(f"before-{shard}-{attempt}"), max_size=1))
            + [draw(exchanges(QUERY, part=f"-{shard}-{attempt}"))]
            for attempt in range(2)
        ]
        for shard in range(draw(st.integers(1, 4)))
    }


class PlayedShards:
    """Senders and inbox in one: each send is played on a connection of its own until it ends."""

    def __init__(self, plans: Plans) -> None:
        self.plans = {service: list(plan) for service, plan in plans.items()}
        self.finished: list[Call] = []

    def now(self):
        return Millis(0.0)

    def send(self, call, tried):
        if not self.plans[call.service]:
            return NotRun(Reason.NO_SEARCHER, Step.ROUTE, call.service)
        planned = self.plans[call.service].pop(0)
        Conversation(planned, call).run()
        if not call.started:
            Conversation(planned[-1:], call).run()
        self.finished.append(call)
        return ScriptedCall(call, SearcherId(f"{call.service}-{len(tried)}"))

    def hedge_delay(self, route):
        return Millis(1_000.0)

    def allow_hedge(self, service):
        return False

    def allow_retry(self, service):
        return True

    def set_batch_size(self, number):
        pass

    def put(self, call):
        pass

    def wait(self, deadline):
        return self.finished.pop(0)


def check_merged(merged: Merged, plans: Plans) -> None:
    """Fail where a query's answer is not the merge of the parts that it names."""
    meant = {
        plan[-1].message.stamp: (service, plan[-1].message)
        for service, tried in plans.items()
        for plan in tried
        if plan[-1].message.status in (200, 204)
    }
    assert set(merged.stamps) <= set(meant)
    named = [meant[stamp] for stamp in merged.stamps]
    assert len({service for service, _ in named}) == len(named) >= len(plans) * LEAST_SHARE
    assert len(named) + merged.missing == len(plans)
    bodies = b"".join(message.body for _, message in named)
    held = [bodies[start : start + 16] for start in range(0, len(bodies), 16)]
    assert merged.records == b"".join(sorted(held, reverse=True)[:TOP])


def play(*planned: Exchange) -> None:
    """Play exchanges on one connection and check each call."""
    for exchange, call in Conversation(list(planned)).run():
        check(exchange, call)


class TestAnswersOfOneConnection:
    """No call takes what its searcher did not mean for it."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(series(cut_open=False))
    def test_each_call_gets_its_own_whole_answer_or_none(self, planned):
        play(*planned)

    @settings(max_examples=EXAMPLES // 4, deadline=None, derandomize=True)
    @given(st.lists(messages("q"), min_size=1, max_size=4), st.sampled_from(Moment))
    def test_whole_answers_are_all_taken(self, planned, moment):
        own = [replace(message, identity=f"q{place}") for place, message in enumerate(planned)]
        last = own[-1].framing is Framing.CLOSE
        own = [m for m in own[:-1] if m.framing is not Framing.CLOSE] + own[-1:]
        series = [Exchange(message, message.encode(), moment=moment) for message in own]
        series[-1] = replace(series[-1], end=ConnectionEnd.ORDERLY if last else ConnectionEnd.OPEN)
        played = Conversation(series).run()
        assert len(played) == len(series)
        for exchange, call in played:
            check(exchange, call)
            assert isinstance(call.outcome, Answered | Declined)


class TestCutAnswersOnOpenConnections:
    """A searcher stops within an answer, keeps the connection and goes on with the next one."""

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(series(cut_open=True))
    def test_each_call_gets_its_own_whole_answer_or_none(self, planned):
        play(*planned)

    # Guards against a success whose searcher had failed: the status was a cut late answer's.
    def test_the_status_of_a_cut_answer_is_not_taken_for_the_next_ones(self):
        before, own = Message("q0", 200, b""), Message("q1", 500, records("q1", 1))
        late = b"HTTP/1.1 200 "
        play(Exchange(before, before.encode(), late=late), Exchange(own, own.encode()))
        bytewise = Exchange(own, own.encode(), cuts=tuple(range(60)))
        play(Exchange(before, before.encode(), late=late), bytewise)

    # Guards against an answer that bears two requests' ids and stamps, the first a stranger's.
    def test_headers_of_a_cut_answer_are_not_taken_for_the_next_ones(self):
        before, own = Message("q0", 200, b""), Message("q1", 200, records("q1", 1))
        cut = before.encode().partition(b"-q0-200")[0]
        play(Exchange(before, before.encode(), late=cut), Exchange(own, own.encode()))

    # Guards against a promise of not having run, for a request that ran.
    def test_a_cut_refusal_does_not_make_the_next_answer_one(self):
        before, own = Message("q0", 503, b"", not_run=True), Message("q1", 200, records("q1", 1))
        cut = b"HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-id: "
        play(Exchange(before, before.encode(), late=cut), Exchange(own, own.encode()))

    # Guards against a body of which a part is the head of the answer's second copy.
    def test_a_copy_that_comes_at_once_does_not_fill_up_a_cut_answer(self):
        own = Message("q0", 200, records("q0", 3))
        play(Exchange(own, own.encode()[:-20] + own.encode()))

    # Guards against the same where the copy arrives so that nothing stands behind the body.
    def test_a_copy_that_comes_in_pieces_does_not_fill_up_a_cut_answer(self):
        own = Message("q0", 200, records("q0", 300))
        missing = 2 * len(own.head)
        cut = own.encode()[:-missing]
        play(Exchange(own, cut, late=own.encode(), cuts=(missing,)))

    def test_a_body_that_quotes_a_status_line_is_taken(self):
        own = Message(
            "q0", 200, b"GET / gave HTTP/1.1 200 Some Reason\r\nx-id: other\r\n\r\nand so on"
        )
        call = Conversation([Exchange(own, own.encode())]).run()[0][1]
        assert isinstance(call.outcome, Answered) and call.outcome.body == own.body


class ResetNoticedBySender(socket.socket):
    """Holds the second receive until a send has failed, and the task that sent until then."""

    def __init__(self, plain: socket.socket) -> None:
        super().__init__(fileno=plain.detach())
        self.receives = 0
        self.half_read, self.failed, self.read_end = Event(), Event(), Event()

    def recv_into(self, buffer, size=0, flags=0):
        self.receives += 1
        if self.receives > 1:
            self.half_read.set()
            assert self.failed.wait(5)
        return super().recv_into(buffer, size, flags)

    def send(self, data, flags=0):
        try:
            return super().send(data, flags)
        except BlockingIOError:
            raise
        except OSError:
            self.failed.set()
            self.read_end.wait(0.5)
            raise


class EndNoted:
    """An owner that notes when a call is finished."""

    def __init__(self, finished: Event) -> None:
        self.finished = finished

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        self.finished.set()

    def handle_close(self, task, *, connected):
        pass


class TestResetWhileSending:
    """The kernel reports a reset once: a receive after a send that failed reads an orderly end."""

    # Guards against half of an answer, reset before its request was sent whole, taken as whole.
    def test_an_answer_without_length_is_not_whole_if_a_send_took_its_reset(self):
        near, far = connect_pair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        held = ResetNoticedBySender(near)
        call = make_call("q0")
        call.request = replace(call.request, method=b"POST", body=bytes(4_000_000))
        owner = EndNoted(held.read_end)
        task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), owner, HEADER_NAMES, SystemClock(), call
        )
        call.deadline = Millis(task.clock.now() + 10_000.0)
        task.client.socket = held
        reader = threading.Thread(
            target=lambda: task._finish(task._receive_responses(), connected=True)
        )
        sender = threading.Thread(target=task._send, args=(call,))
        reader.start()
        sender.start()
        far.sendall(Message("q0", 200, records("q0", 300), Framing.CLOSE).encode()[:-100])
        assert held.half_read.wait(5)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        far.close()
        for thread in (reader, sender):
            thread.join(5)
        assert isinstance(call.outcome, Lost)


class TestInterimAnswers:
    """What comes before the final answer of a call."""

    # Guards against a call without an outcome and a connection that is never counted out.
    def test_a_switch_of_protocols_ends_the_call_and_the_connection(self):
        own = Message("q0", 200, b"")
        switch = b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        play(Exchange(own, switch + own.encode()))


class TestFieldsOfAnswers:
    """What an answer says of itself beside its body."""

    # Guards against an answer taken for a call that only its trailers name.
    def test_the_request_of_an_answer_is_not_taken_from_its_trailers(self):
        own, other = Message("q1", 200, records("q1", 1)), Message("q0", 200, b"", Framing.CHUNKED)
        play(Exchange(own, other.encode()[:-2] + b"x-id: q1\r\n\r\n"))

    # Guards against an answer that is passed on with two requests' ids, or with two stamps.
    @pytest.mark.parametrize("field", [b"x-id: other\r\n", b"x-stamp: other\r\n"])
    def test_an_answer_with_two_ids_or_stamps_is_nobodys(self, field):
        own = Message("q0", 200, records("q0", 1))
        (played,) = Conversation(
            [Exchange(own, own.encode().replace(b"x-id", field + b"x-id"), ConnectionEnd.ORDERLY)]
        ).run()
        assert isinstance(played[1].outcome, Lost)

    # Guards against a call without an outcome, as the task ends by what int() raises.
    @pytest.mark.parametrize(
        "field",
        [b"x-load: 1,2,%s\r\n" % (b"9" * 5_000), b"Keep-Alive: timeout=%s\r\n" % (b"9" * 5_000)],
    )
    def test_a_number_of_any_length_does_not_end_the_task(self, field):
        own = Message("q0", 200, records("q0", 1))
        play(Exchange(own, own.encode().replace(b"Server", field + b"Server")))


class TestLongBodies:
    """What the look for a head within a body costs."""

    # Guards against a body that takes a core for minutes, since it is searched again and again.
    @pytest.mark.parametrize("unit", [b"HTTP/", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200"])
    def test_a_body_of_status_lines_is_searched_in_seconds(self, unit):
        parser = ResponseParser()
        body = unit * (2_000_000 // len(unit)) + b"."
        began = time.thread_time()
        for start in range(0, len(body), 65_536):
            head = b"" if start else b"HTTP/1.1 200 OK\r\nx-id: q\r\nContent-Length: %d\r\n\r\n"
            parser.feed((head % len(body) if head else b"") + body[start : start + 65_536])
        assert [response.body for response in parser.ready] == [body]
        assert time.thread_time() - began < 10.0


class TestQueries:
    """The parts of a query come over connections that carry other answers too."""

    @settings(max_examples=EXAMPLES // 2, deadline=None, derandomize=True)
    @given(queries())
    def test_a_merge_holds_the_records_of_the_parts_that_it_names(self, plans):
        target = Shards(tuple(ServiceId(name) for name in plans), TOP, LEAST_SHARE)
        request = make_call(QUERY).request
        played = PlayedShards(plans)
        reply = run_gather(request, make_route(target), target, played, played)
        match reply:
            case Merged() as merged:
                check_merged(merged, plans)
            case _:
                assert isinstance(reply, Failed | Refused)


PEER_QUERIES = 80
SHARDS = Shards((ServiceId("s1"), ServiceId("s2")), TOP, LEAST_SHARE)


def gathered_stamps(identity: str, by: str) -> list[str]:
    return [f"{identity}-{name}-{by}" for name in SHARDS.services]


def merged_records(identity: str, by: str) -> bytes:
    bodies = b"".join(records(stamp, 3) for stamp in gathered_stamps(identity, by))
    held = [bodies[start : start + 16] for start in range(0, len(bodies), 16)]
    return b"".join(sorted(held, reverse=True)[:TOP])


def answer_as_gatherer(head: bytes) -> bytes:
    identity = head_value(head, b"x-id").decode()
    body = merged_records(identity, "gatherer")
    fields = (
        f"x-id: {identity}\r\nx-gateway-missing: 0\r\nContent-Length: {len(body)}\r\n"
        f"x-gateway-stamps: {', '.join(gathered_stamps(identity, 'gatherer'))}\r\n\r\n"
    )
    return b"HTTP/1.1 200 OK\r\n" + fields.encode() + body


def answer_as_shard(head: bytes) -> bytes:
    identity = head_value(head, b"x-id").decode()
    stamp = f"{identity}-{head_value(head, b'x-expected').decode()[:2]}-entry"
    body = records(stamp, 3)
    fields = f"x-id: {identity}\r\nx-stamp: {stamp}\r\nContent-Length: {len(body)}\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + fields.encode() + body


class TestQueriesHandedOver:
    """A gatherer ends within its answers, and the entry gathers again."""

    # Guards against an answer made of what two gateways gathered, or of a part of either.
    @pytest.mark.parametrize("resets", [False, True])
    def test_an_answer_is_one_gateways_wherever_the_gatherer_ends(self, resets):
        gatherer = BreakingSearcher(answer_as_gatherer, resets=resets)
        searchers = {name: [RepeatingSearcher(answer_as_shard)] for name in SHARDS.services}
        told = []
        with running_gateway([make_route(SHARDS)], searchers) as entry:
            entry.peers.update_gathering = lambda: None
            entry.peers.gathering = GatherAtPeers()
            entry.fleet.apply_listing(
                replace(make_entry("p", PEER_SERVICE), address=gatherer.address)
            )
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1_000.0
            for number in range(PEER_QUERIES):
                identity = f"q{number}"
                told.append((identity, *RawCaller(entry).get(identity=identity).read()))
        for identity, status, head, body in told:
            stamps = head_value(head, b"x-stamps").decode().split(", ")
            by = stamps[0].rpartition("-")[2]
            assert (status, head_value(head, b"x-missing")) == (200, b"0")
            assert sorted(stamps) == gathered_stamps(identity, by)
            assert body == merged_records(identity, by)
        assert gatherer.broken_count >= PEER_QUERIES // 3
