"""Tests that a call gets the complete response to its own request, or none.

This holds whatever other bytes its connection carries: late, repeated, truncated and interim
responses, and invalid bytes. Most tests run exchanges over a real connection; Hypothesis draws the
exchanges of some.
"""

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
from masticgate.connection.gateway._inbox import RequestInbox, WakeableSocket
from masticgate.connection.gateway._response_parser import ResponseParser
from masticgate.process.gateway._naming import GatherAtPeers
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
from masticgate.version.gateway import PEER_SERVICE, Shards

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

EXAMPLE_COUNT = 400
"""The number of examples of the longest property tests; the others run a fraction of it."""

MIN_STATUS_LINE_BYTES = 9
"""The length of ``HTTP/1.1`` and a space, the fewest bytes that show a new response."""


class Framing(Enum):
    """How a response states where it ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class DispatchTime(Enum):
    """When the next call is dispatched to a connection that has become idle.

    ``AT_FINISH`` is while the handler of the connection handles the outcome of the previous call,
    ``BEFORE_RECEIVE`` before the connection's task receives again, and ``IN_RECEIVE`` while it
    receives.
    """

    AT_FINISH = "at finish"
    BEFORE_RECEIVE = "before receive"
    IN_RECEIVE = "in receive"


@dataclass(frozen=True)
class PlannedResponse:
    """The complete response that a searcher intends to send for one request.

    ``request_id`` is the request id in the response, if any. ``header_order`` is the order of
    the header lines. ``suffix`` distinguishes the stamps of several responses to one request.
    """

    request_id: str | None
    status: int
    body: bytes
    framing: Framing = Framing.LENGTH
    not_run: bool = False
    header_order: tuple[int, ...] = (0, 1, 2, 3, 4)
    suffix: str = ""

    @property
    def stamp(self) -> str:
        return f"stamp-{self.request_id}-{self.status}{self.suffix}"

    @property
    def is_refusal(self) -> bool:
        return self.not_run or self.status == 421

    @property
    def head(self) -> bytes:
        lines = [
            b"" if self.request_id is None else b"x-id: %s\r\n" % self.request_id.encode(),
            b"" if self.is_refusal else b"x-stamp: %s\r\n" % self.stamp.encode(),
            self._framing_header(),
            b"Server: stand-in\r\n",
            b"x-not-run: 1\r\n" if self.not_run else b"",
        ]
        line = b"HTTP/1.1 %d Some Reason\r\n" % self.status
        return line + b"".join(lines[index] for index in self.header_order) + b"\r\n"

    def encode(self) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return self.head + self.body
        half = len(self.body) // 2
        chunks = [part for part in (self.body[:half], self.body[half:]) if part]
        encoded_chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in chunks)
        return self.head + encoded_chunks + b"0\r\n\r\n"

    def _framing_header(self) -> bytes:
        match self.framing:
            case Framing.LENGTH:
                return b"Content-Length: %d\r\n" % len(self.body)
            case Framing.CHUNKED:
                return b"Transfer-Encoding: chunked\r\n"
            case Framing.CLOSE:
                return b""


def make_records(random_seed: str, count: int) -> bytes:
    """Return ``count`` records of 16 bytes, which differ for each ``random_seed``."""
    return random.Random(random_seed).randbytes(16 * count)


@dataclass(frozen=True)
class Exchange:
    """One request and all bytes that its searcher sends because of it.

    The searcher sends ``sent``, which is derived from ``response``. It then keeps the connection
    open, closes it or resets it, as ``end`` says. The first ``late_split`` bytes of ``late_bytes``
    follow when the connection is idle, and the rest right before the response to the next request.
    The bytes are divided at ``segment_offsets``, modulo their length, into segments that are sent
    separately.
    """

    response: PlannedResponse
    sent: bytes
    end: ConnectionEnd = ConnectionEnd.OPEN
    late_bytes: bytes = b""
    late_split: int = 0
    dispatch_time: DispatchTime = DispatchTime.BEFORE_RECEIVE
    segment_offsets: tuple[int, ...] = ()


class SteppingSocket(socket.socket):
    """A socket that runs the next step of the script whenever there is nothing to receive."""

    def __init__(self, plain: socket.socket, connection: "ScriptedConnection") -> None:
        super().__init__(fileno=plain.detach())
        self.connection = connection

    def recv_into(self, buffer, size=0, flags=0):
        poller = select.poll()
        poller.register(self, select.POLLIN)
        if not poller.poll(0):
            next(self.connection.script)
        count = super().recv_into(buffer, size, flags)
        self.connection.handle_receive()
        return count


class ScriptedConnection:
    """A real connection, over which one thread runs exchanges by a script.

    The gateway's end is a ``SearcherTask``, which uses this object as its handler; ``far`` is the
    searcher's end. ``calls`` holds each exchange that was run, with its call. ``last_call`` is the
    call to use for the last exchange; without it, one is made.
    """

    def __init__(self, exchanges: list[Exchange], last_call: Call | None = None) -> None:
        near, self.far = connect_pair()
        self.last_call = last_call
        self.pending_exchanges = list(exchanges)
        self.calls: list[tuple[Exchange, Call]] = []
        self.dispatch_in_receive = False
        self.script = self._run_script()
        self.task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), self, HEADER_NAMES, ManualClock()
        )
        self.task.client.socket = self.near = SteppingSocket(near, self)

    def run(self) -> list[tuple[Exchange, Call]]:
        self.task.run()
        self.far.close()
        return self.calls

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        if reusable and self.calls[-1][0].dispatch_time is DispatchTime.AT_FINISH:
            self._dispatch_next()

    def handle_close(self, task, *, connected):
        pass

    def handle_notice(self, task, notice):
        pass

    def record_violation(self, task, violation):
        pass

    def handle_receive(self) -> None:
        if self.dispatch_in_receive:
            self.dispatch_in_receive = False
            self._dispatch_next()

    def _dispatch_next(self) -> None:
        """Dispatch the next call to the connection, as the task of a caller would."""
        if not self.pending_exchanges:
            return
        exchange = self.pending_exchanges.pop(0)
        call = self.last_call if self.last_call and not self.pending_exchanges else None
        call = call or make_call(exchange.response.request_id)
        self.calls.append((exchange, call))
        assert self.task.dispatch(call)

    def _run_script(self) -> Iterator[None]:
        """Do what the searcher does until the connection ends.

        Each step sends bytes or closes the connection, so that the other end has something to
        receive.
        """
        pending = b""
        number = 0
        while self._ensure_dispatched(number):
            exchange, call = self.calls[number]
            yield from self._send_segments(pending + exchange.sent, exchange.segment_offsets)
            if exchange.end is not ConnectionEnd.OPEN:
                self._close(exchange.end)
                yield
            number += 1
            pending = exchange.late_bytes
            if call.outcome is None:
                yield from self._send_segments(pending, exchange.segment_offsets)
                break
            if number == len(self.calls) and exchange.late_split:
                self.dispatch_in_receive = exchange.dispatch_time is DispatchTime.IN_RECEIVE
                yield from self._send_segments(
                    pending[: exchange.late_split], exchange.segment_offsets
                )
                pending = pending[exchange.late_split :]
        self.task.close()
        yield

    def _ensure_dispatched(self, number: int) -> bool:
        if number == len(self.calls):
            self._dispatch_next()
        return number < len(self.calls)

    def _send_segments(self, data: bytes, segment_offsets: tuple[int, ...]) -> Iterator[None]:
        offsets = sorted({offset % len(data) for offset in segment_offsets}) if data else []
        for start, stop in zip([0, *offsets], [*offsets, len(data)], strict=True):
            if start < stop:
                self.far.sendall(data[start:stop])
                yield

    def _close(self, end: ConnectionEnd) -> None:
        """Close the connection normally or with a reset.

        For a normal close the request is received first, since the kernel resets a connection
        that is closed with unread bytes.
        """
        if end is ConnectionEnd.RESET:
            self.far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        else:
            self.far.recv(65_536)
        self.far.close()


def make_call(request_id: str) -> Call:
    request = replace(make_request(request_id), headers=((b"x-id", request_id.encode()),))
    return Call(request, make_route(), ServiceId("orders"), Millis(400.0), UnreadInbox())


def field_values(answer: Answered, name: bytes) -> list[bytes]:
    return [value for key, value in answer.headers if key.lower() == name]


def check_call(exchange: Exchange, call: Call) -> None:
    """Check that the outcome of a call is the response that its searcher intended, or ``Lost``."""
    response = exchange.response
    match call.outcome:
        case Answered() as answer:
            assert not response.is_refusal
            assert (answer.status, answer.stamp) == (response.status, response.stamp)
            assert answer.body == response.body
            assert field_values(answer, HEADER_NAMES.request_id) == [response.request_id.encode()]
            assert field_values(answer, HEADER_NAMES.stamp) == [response.stamp.encode()]
        case Declined():
            assert response.is_refusal
        case Lost():
            return
        case None:
            raise AssertionError("the call has no outcome")


INVALID_BYTES = [
    b"\0" * 20,
    b"garbage\r\n\r\n",
    b"\r\n",
    b"x-id: q0\r\n\r\n",
    b"HTTP/1.1 ",
    b"HTTP/1.1 200 OK\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n",
]
INTERIM_RESPONSES = [b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"]
STATUS_CHOICES = [(200, False)] * 6 + [
    (500, False),
    (404, False),
    (204, False),
    (503, True),
    (421, False),
]
FIRST_PART_KINDS = ["complete"] * 6 + ["interim", "other_id", "no_id", "invalid"]
FRAMING_CHOICES = [Framing.LENGTH] * 3 + [Framing.CHUNKED, Framing.CLOSE]
END_CHOICES = [ConnectionEnd.OPEN] * 6 + [
    ConnectionEnd.CLOSED_NORMALLY,
    ConnectionEnd.RESET,
    ConnectionEnd.RESET,
]


@dataclass(frozen=True)
class SentPart:
    """Some of the bytes that a searcher sends.

    ``ends_with_close`` says whether they are a response that extends to the end of its connection.
    ``missing_bytes`` is the number of bytes that a truncated response lacks.
    """

    data: bytes
    ends_with_close: bool = False
    missing_bytes: int = 0


def is_unambiguous(sent_parts: list[SentPart], end: ConnectionEnd) -> bool:
    """Return whether a receiver can detect which part is the complete response to the call."""
    for index, part in enumerate(sent_parts):
        later_parts = sent_parts[index + 1 :]
        # A response without a length extends to the end of its connection. After a normal close,
        # nothing shows that the response is truncated, or where the bytes that follow it begin.
        if (
            part.ends_with_close
            and end is ConnectionEnd.CLOSED_NORMALLY
            and (part.missing_bytes or later_parts)
        ):
            return False
        # The bytes after a truncated response seem to complete it, unless they begin as another
        # response does.
        if part.missing_bytes and any(other.data in INVALID_BYTES for other in later_parts):
            return False
        if 0 < part.missing_bytes < MIN_STATUS_LINE_BYTES and later_parts:
            return False
    return True


@st.composite
def responses(draw, request_id: str, suffix: str = "") -> PlannedResponse:
    """Draw a response to the request with the id ``request_id``."""
    status, not_run = draw(st.sampled_from(STATUS_CHOICES))
    empty = status == 204
    return PlannedResponse(
        request_id,
        status,
        (
            b""
            if empty
            else make_records(request_id + suffix, draw(st.sampled_from([0, 1, 3, 20, 300])))
        ),
        Framing.LENGTH if empty else draw(st.sampled_from(FRAMING_CHOICES)),
        not_run,
        tuple(draw(st.permutations(range(5)))),
        suffix,
    )


def truncation_offsets(response: PlannedResponse, data: bytes) -> list[int]:
    """Return the offsets at which a response may be truncated.

    They are the ends of words and lines of its head, and every seventh offset of all its bytes.
    """
    head_length = len(response.head)
    edges = [
        index for index in range(1, head_length) if data[index - 1 : index] in (b" ", b"\r", b"\n")
    ]
    return [index for index in (*edges, *range(1, len(data), 7)) if index < len(data)]


@st.composite
def sent_parts(draw, response: PlannedResponse, truncated: bool) -> SentPart:
    """Draw the bytes of a response, which may have another framing or be truncated."""
    if response.status != 204 and draw(st.booleans()):
        response = replace(response, framing=draw(st.sampled_from(FRAMING_CHOICES)))
    data = response.encode()
    kept = draw(st.sampled_from(truncation_offsets(response, data))) if truncated else len(data)
    return SentPart(data[:kept], response.framing is Framing.CLOSE, len(data) - kept)


@st.composite
def first_sent_parts(draw, response: PlannedResponse, truncation_weight: int) -> list[SentPart]:
    """Draw what a searcher sends when a response is due.

    It is a response, complete or truncated, or interim or invalid bytes and a response, or a
    response with another request id or with none. ``truncation_weight`` is the weight of a
    truncated response; the other choices have a weight of ten together.
    """
    match draw(st.sampled_from(FIRST_PART_KINDS + ["truncated"] * truncation_weight)):
        case "interim":
            return [
                SentPart(draw(st.sampled_from(INTERIM_RESPONSES))),
                draw(sent_parts(response, False)),
            ]
        case "truncated":
            return [draw(sent_parts(response, True))]
        case "other_id":
            return [
                draw(
                    sent_parts(
                        replace(response, request_id="other", body=make_records("o", 2)), False
                    )
                )
            ]
        case "no_id":
            return [
                draw(
                    sent_parts(replace(response, request_id=None, body=make_records("n", 2)), False)
                )
            ]
        case "invalid":
            return [
                SentPart(draw(st.sampled_from(INVALID_BYTES))),
                draw(sent_parts(response, False)),
            ]
        case _:
            return [draw(sent_parts(response, False))]


@st.composite
def exchanges(draw, request_id: str, truncates_open: bool = False, suffix: str = "") -> Exchange:
    """Draw an exchange.

    Responses on connections that stay open are truncated only if ``truncates_open``.
    """
    response = draw(responses(request_id, suffix))
    end = draw(st.sampled_from(END_CHOICES))
    sent = draw(
        first_sent_parts(response, 4 if truncates_open or end is not ConnectionEnd.OPEN else 0)
    )
    truncates_copies = truncates_open and draw(st.booleans())
    continues = truncates_open or not sent[-1].missing_bytes
    for _ in range(draw(st.sampled_from([0, 0, 0, 1, 2])) if continues else 0):
        sent.append(
            draw(
                st.sampled_from(INVALID_BYTES).map(SentPart)
                | sent_parts(response, truncates_copies)
            )
        )
    late_parts = []
    if draw(st.sampled_from([True] * (3 if truncates_open else 1) + [False])):
        late_parts = [draw(sent_parts(response, truncates_open and draw(st.booleans())))]
    assume(is_unambiguous(sent + (late_parts if end is ConnectionEnd.OPEN else []), end))
    data, late_data = (b"".join(part.data for part in group) for group in (sent, late_parts))
    late_split = draw(st.sampled_from([0, 0, 0, len(late_data), len(late_data) // 3]))
    segment_offsets = tuple(draw(st.lists(st.integers(0, 600), max_size=3)))
    return Exchange(
        response,
        data,
        end,
        late_data,
        late_split,
        draw(st.sampled_from(DispatchTime)),
        segment_offsets,
    )


@st.composite
def exchange_lists(draw, truncates_open: bool) -> list[Exchange]:
    """Draw the exchanges of one connection."""
    return [
        draw(exchanges(f"q{number}", truncates_open)) for number in range(draw(st.integers(1, 4)))
    ]


QUERY_ID = "query"
TOP_K = 5
MIN_SHARD_RATIO = 0.5
Plans = dict[str, list[list[Exchange]]]


@st.composite
def queries(draw) -> Plans:
    """Draw the exchanges of two searchers of each shard of a query.

    Each searcher has at most one exchange before that of the query.
    """
    return {
        f"s{shard}": [
            draw(st.lists(exchanges(f"before-{shard}-{attempt}"), max_size=1))
            + [draw(exchanges(QUERY_ID, suffix=f"-{shard}-{attempt}"))]
            for attempt in range(2)
        ]
        for shard in range(draw(st.integers(1, 4)))
    }


class ScriptedShards:
    """An upstream client and an inbox in one, for the shards of one query.

    Each call is run at once on a connection of its own, after the earlier exchanges of that
    connection. If the connection ends before the call is sent, the call is run on a new one.
    """

    def __init__(self, plans: Plans) -> None:
        self.plans = {service: list(plan) for service, plan in plans.items()}
        self.finished: list[Call] = []

    def now(self):
        return Millis(0.0)

    def send(self, call, attempts):
        if not self.plans[call.service]:
            return NotRun(Reason.NO_SEARCHER, Step.ROUTE, call.service)
        exchanges = self.plans[call.service].pop(0)
        ScriptedConnection(exchanges, call).run()
        if not call.started:
            ScriptedConnection(exchanges[-1:], call).run()
        self.finished.append(call)
        return ScriptedCall(call, SearcherId(f"{call.service}-{len(attempts)}"))

    def record_overdue(self, call):
        call.call.overdue = True

    def searcher_count(self, service):
        return 2

    def has_searcher(self, service, tried):
        return bool(self.plans[service])

    def hedge_delay(self, route):
        return Millis(1_000.0)

    def unservable(self, services):
        return []

    def retry_after(self, service):
        return None

    def admit_query(self, request, route, services, needed):
        return None

    def is_full(self, service):
        return False

    def busy_retry_after(self, route, service, deadline):
        return None

    def second_answer_time(self, route):
        return None

    def allow_hedge(self, service, urgency):
        return False

    def allow_retry(self, service, *, possibly_ran=True):
        return True

    def set_batch_size(self, number):
        pass

    def put(self, call):
        pass

    def wait(self, deadline):
        if not self.finished:
            assert deadline <= self.now(), "waits although no call is in flight"
            return None
        return self.finished.pop(0)


def check_merged(merged: Merged, plans: Plans) -> None:
    """Check that a merged reply has the top records of the responses that its stamps name."""
    expected = {
        plan[-1].response.stamp: (service, plan[-1].response)
        for service, attempts in plans.items()
        for plan in attempts
        if plan[-1].response.status in (200, 204)
    }
    assert set(merged.stamps) <= set(expected)
    included = [expected[stamp] for stamp in merged.stamps]
    assert (
        len({service for service, _ in included}) == len(included) >= len(plans) * MIN_SHARD_RATIO
    )
    assert len(included) + merged.missing == len(plans)
    bodies = b"".join(response.body for _, response in included)
    all_records = [bodies[start : start + 16] for start in range(0, len(bodies), 16)]
    assert merged.records == b"".join(sorted(all_records, reverse=True)[:TOP_K])


def run_and_check(*exchanges: Exchange) -> None:
    """Run exchanges on one connection and check each call."""
    for exchange, call in ScriptedConnection(list(exchanges)).run():
        check_call(exchange, call)


class TestResponsesOfOneConnection:
    """Connections on which a response is truncated only if the connection then ends."""

    @settings(max_examples=EXAMPLE_COUNT, deadline=None, derandomize=True)
    @given(exchange_lists(truncates_open=False))
    def test_each_call_gets_own_complete_response_or_none(self, planned_exchanges):
        run_and_check(*planned_exchanges)

    @settings(max_examples=EXAMPLE_COUNT // 4, deadline=None, derandomize=True)
    @given(st.lists(responses("q"), min_size=1, max_size=4), st.sampled_from(DispatchTime))
    def test_each_call_gets_its_response_when_all_are_complete(
        self, drawn_responses, dispatch_time
    ):
        numbered = [
            replace(response, request_id=f"q{number}")
            for number, response in enumerate(drawn_responses)
        ]
        ends_with_close = numbered[-1].framing is Framing.CLOSE
        numbered = [
            response for response in numbered[:-1] if response.framing is not Framing.CLOSE
        ] + numbered[-1:]
        series = [
            Exchange(response, response.encode(), dispatch_time=dispatch_time)
            for response in numbered
        ]
        series[-1] = replace(
            series[-1], end=ConnectionEnd.CLOSED_NORMALLY if ends_with_close else ConnectionEnd.OPEN
        )
        exchange_calls = ScriptedConnection(series).run()
        assert len(exchange_calls) == len(series)
        for exchange, call in exchange_calls:
            check_call(exchange, call)
            assert isinstance(call.outcome, Answered | Declined)


class TestTruncatedResponsesOnOpenConnections:
    """Searchers that stop within a response, keep the connection open and send another response."""

    @settings(max_examples=EXAMPLE_COUNT, deadline=None, derandomize=True)
    @given(exchange_lists(truncates_open=True))
    def test_each_call_gets_own_complete_response_or_none(self, planned_exchanges):
        run_and_check(*planned_exchanges)

    # Guards against a success for a request that failed at the searcher: a late response ends
    # within its status line, and its status is used for the response that follows.
    def test_status_of_truncated_response_is_not_used_for_next_one(self):
        earlier, response = (
            PlannedResponse("q0", 200, b""),
            PlannedResponse("q1", 500, make_records("q1", 1)),
        )
        late_bytes = b"HTTP/1.1 200 "
        run_and_check(
            Exchange(earlier, earlier.encode(), late_bytes=late_bytes),
            Exchange(response, response.encode()),
        )
        byte_by_byte = Exchange(response, response.encode(), segment_offsets=tuple(range(60)))
        run_and_check(
            Exchange(earlier, earlier.encode(), late_bytes=late_bytes),
            byte_by_byte,
        )

    # Guards against an answer that has, besides its own id and stamp, those of a truncated response
    # to another request.
    def test_headers_of_truncated_response_are_not_used_for_next_one(self):
        earlier, response = (
            PlannedResponse("q0", 200, b""),
            PlannedResponse("q1", 200, make_records("q1", 1)),
        )
        truncated_bytes = earlier.encode().partition(b"-q0-200")[0]
        run_and_check(
            Exchange(earlier, earlier.encode(), late_bytes=truncated_bytes),
            Exchange(response, response.encode()),
        )

    # Guards against a request that ran but is reported as not run, since the header that says so
    # comes from a truncated refusal of another request.
    def test_truncated_refusal_does_not_make_next_response_a_refusal(self):
        earlier, response = (
            PlannedResponse("q0", 503, b"", not_run=True),
            PlannedResponse("q1", 200, make_records("q1", 1)),
        )
        truncated_bytes = b"HTTP/1.1 503 X\r\nx-not-run: 1\r\nx-id: "
        run_and_check(
            Exchange(earlier, earlier.encode(), late_bytes=truncated_bytes),
            Exchange(response, response.encode()),
        )

    # Guards against a body that contains the head of the same response, sent again.
    def test_copy_in_same_segment_does_not_complete_truncated_response(self):
        response = PlannedResponse("q0", 200, make_records("q0", 3))
        run_and_check(Exchange(response, response.encode()[:-20] + response.encode()))

    # Guards against a body that contains the head of the same response, sent again. A segment ends
    # where the body reaches its full length, so that no bytes after the body reveal this.
    def test_copy_in_two_segments_does_not_complete_truncated_response(self):
        response = PlannedResponse("q0", 200, make_records("q0", 300))
        missing_size = 2 * len(response.head)
        truncated_bytes = response.encode()[:-missing_size]
        run_and_check(
            Exchange(
                response,
                truncated_bytes,
                late_bytes=response.encode(),
                segment_offsets=(missing_size,),
            )
        )

    def test_accepts_body_that_quotes_status_line(self):
        response = PlannedResponse(
            "q0", 200, b"GET / gave HTTP/1.1 200 Some Reason\r\nx-id: other\r\n\r\nand so on"
        )
        call = ScriptedConnection([Exchange(response, response.encode())]).run()[0][1]
        assert isinstance(call.outcome, Answered) and call.outcome.body == response.body


class ResetReportedToSender(socket.socket):
    """A socket that reports a reset to the thread that sends, before the thread that receives.

    The second receive waits until a send has failed. The failed send waits until the call is
    finished, for at most 0.5 s.
    """

    def __init__(self, plain: socket.socket) -> None:
        super().__init__(fileno=plain.detach())
        self.receive_count = 0
        self.second_receive_started, self.send_failed, self.call_finished = (
            Event(),
            Event(),
            Event(),
        )

    def recv_into(self, buffer, size=0, flags=0):
        self.receive_count += 1
        if self.receive_count > 1:
            self.second_receive_started.set()
            assert self.send_failed.wait(5)
        return super().recv_into(buffer, size, flags)

    def send(self, data, flags=0):
        try:
            return super().send(data, flags)
        except BlockingIOError:
            raise
        except OSError:
            self.send_failed.set()
            self.call_finished.wait(0.5)
            raise


class FinishRecorder:
    """A handler that records when a call is finished."""

    def __init__(self, finished: Event) -> None:
        self.finished = finished

    def handle_open(self, task):
        pass

    def handle_outcome(self, task, call, load, *, reusable):
        self.finished.set()

    def handle_close(self, task, *, connected):
        pass


class TestResetWhileSending:
    """The kernel reports a reset only once.

    If a send fails because of it, the next receive reads a normal end of the connection instead.
    """

    # Guards against a truncated response that is accepted as complete. The searcher resets the
    # connection within a response without a length, before it has received the whole request. The
    # send fails because of the reset, and the receive reads a normal end.
    def test_response_without_length_is_lost_when_send_fails_with_reset(self):
        near, far = connect_pair()
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        stream = ResetReportedToSender(near)
        call = make_call("q0")
        call.request = replace(call.request, method=b"POST", body=bytes(4_000_000))
        handler = FinishRecorder(stream.call_finished)
        task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), handler, HEADER_NAMES, SystemClock(), call
        )
        call.deadline = Millis(task.clock.now() + 10_000.0)
        caller, far_caller = connect_pair()
        call.inbox = RequestInbox(WakeableSocket(caller, task.clock))
        task.client.socket = stream
        reader = threading.Thread(
            target=lambda: task._finish(task._receive_responses(), connected=True)
        )
        # The task that waits for the answer sends the rest of the request.
        sender = threading.Thread(target=lambda: (task._send(call), call.inbox.wait(call.deadline)))
        reader.start()
        sender.start()
        far.sendall(
            PlannedResponse("q0", 200, make_records("q0", 300), Framing.CLOSE).encode()[:-100]
        )
        assert stream.second_receive_started.wait(5)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        far.close()
        for thread in (reader, sender):
            thread.join(5)
        far_caller.close()
        assert stream.send_failed.is_set()
        assert isinstance(call.outcome, Lost)


class TestInterimResponses:
    """Responses that come before the final response to a call."""

    # Guards against a call without an outcome, and a connection that counts as open for ever.
    def test_switch_of_protocols_ends_call_and_connection(self):
        response = PlannedResponse("q0", 200, b"")
        switch = b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
        run_and_check(Exchange(response, switch + response.encode()))


class TestResponseHeaders:
    """The headers of a response that the gateway reads."""

    # Guards against a response that is accepted for a call whose id is only in its trailers.
    def test_does_not_read_request_id_from_trailers(self):
        response, other = (
            PlannedResponse("q1", 200, make_records("q1", 1)),
            PlannedResponse("q0", 200, b"", Framing.CHUNKED),
        )
        run_and_check(Exchange(response, other.encode()[:-2] + b"x-id: q1\r\n\r\n"))

    # Guards against an answer that is returned to the caller with two request ids or two stamps.
    @pytest.mark.parametrize("field", [b"x-id: other\r\n", b"x-stamp: other\r\n"])
    def test_rejects_response_with_two_ids_or_stamps(self, field):
        response = PlannedResponse("q0", 200, make_records("q0", 1))
        (exchange_call,) = ScriptedConnection(
            [
                Exchange(
                    response,
                    response.encode().replace(b"x-id", field + b"x-id"),
                    ConnectionEnd.CLOSED_NORMALLY,
                )
            ]
        ).run()
        assert isinstance(exchange_call[1].outcome, Lost)

    # Guards against a call without an outcome, because the task ends with the exception that int()
    # raises for a number with too many digits.
    @pytest.mark.parametrize(
        "field",
        [b"x-load: 1,2,%s\r\n" % (b"9" * 5_000), b"Keep-Alive: timeout=%s\r\n" % (b"9" * 5_000)],
    )
    def test_call_has_outcome_when_header_number_has_5000_digits(self, field):
        response = PlannedResponse("q0", 200, make_records("q0", 1))
        run_and_check(Exchange(response, response.encode().replace(b"Server", field + b"Server")))


class TestLongBodies:
    """The time that the search for another response's head within a body takes."""

    # Guards against a body that keeps a core busy for minutes because it is searched repeatedly.
    @pytest.mark.parametrize("unit", [b"HTTP/", b"HTTP/1.1 200 OK\r\n", b"HTTP/1.1 200"])
    def test_searches_body_of_status_lines_within_seconds(self, unit):
        parser = ResponseParser()
        body = unit * (2_000_000 // len(unit)) + b"."
        started_at = time.thread_time()
        for start in range(0, len(body), 65_536):
            head = b"" if start else b"HTTP/1.1 200 OK\r\nx-id: q\r\nContent-Length: %d\r\n\r\n"
            parser.feed((head % len(body) if head else b"") + body[start : start + 65_536])
        assert [response.body for response in parser.ready] == [body]
        assert time.thread_time() - started_at < 10.0


class TestQueries:
    """Queries whose responses come over connections that also carry other responses."""

    @settings(max_examples=EXAMPLE_COUNT // 2, deadline=None, derandomize=True)
    @given(queries())
    def test_merged_reply_has_top_records_of_shards_that_it_names(self, plans):
        target = Shards(tuple(ServiceId(name) for name in plans), TOP_K, MIN_SHARD_RATIO)
        request = make_call(QUERY_ID).request
        upstream = ScriptedShards(plans)
        reply = run_gather(request, make_route(target), target, upstream, upstream)
        match reply:
            case Merged() as merged:
                check_merged(merged, plans)
            case _:
                assert isinstance(reply, Failed | Refused)


PEER_QUERY_COUNT = 80
SHARDS = Shards((ServiceId("s1"), ServiceId("s2")), TOP_K, MIN_SHARD_RATIO)


def gathered_stamps(request_id: str, gathered_by: str) -> list[str]:
    return [f"{request_id}-{name}-{gathered_by}" for name in SHARDS.services]


def merged_records(request_id: str, gathered_by: str) -> bytes:
    bodies = b"".join(make_records(stamp, 3) for stamp in gathered_stamps(request_id, gathered_by))
    all_records = [bodies[start : start + 16] for start in range(0, len(bodies), 16)]
    return b"".join(sorted(all_records, reverse=True)[:TOP_K])


def respond_as_gatherer(head: bytes) -> bytes:
    request_id = head_value(head, b"x-id").decode()
    body = merged_records(request_id, "gatherer")
    fields = (
        f"x-id: {request_id}\r\nx-gateway-missing: 0\r\nContent-Length: {len(body)}\r\n"
        f"x-gateway-stamps: {', '.join(gathered_stamps(request_id, 'gatherer'))}\r\n\r\n"
    )
    return b"HTTP/1.1 200 OK\r\n" + fields.encode() + body


def respond_as_shard(head: bytes) -> bytes:
    request_id = head_value(head, b"x-id").decode()
    stamp = f"{request_id}-{head_value(head, b'x-expected').decode()[:2]}-entry"
    body = make_records(stamp, 3)
    fields = f"x-id: {request_id}\r\nx-stamp: {stamp}\r\nContent-Length: {len(body)}\r\n\r\n"
    return b"HTTP/1.1 200 OK\r\n" + fields.encode() + body


class TestForwardedQueries:
    """Queries forwarded to a gatherer, another gateway, that disconnects within its responses.

    The entry gateway, which received the query, then gathers the responses of the shards itself.
    """

    # Guards against a reply that mixes what two gateways gathered, or has only a part of it.
    @pytest.mark.parametrize("resets", [False, True])
    def test_reply_comes_from_one_gateway_wherever_gatherer_disconnects(self, resets):
        gatherer = BreakingSearcher(respond_as_gatherer, resets=resets)
        searchers = {name: [RepeatingSearcher(respond_as_shard)] for name in SHARDS.services}
        replies = []
        with running_gateway([make_route(SHARDS)], searchers) as entry:
            entry.peers.update_gathering = lambda: None
            entry.peers.gathering = GatherAtPeers()
            entry.fleet.apply_listing(
                replace(make_entry("p", PEER_SERVICE), address=gatherer.address)
            )
            entry.fleet.budgets.window(PEER_SERVICE).slack = 1_000.0
            for number in range(PEER_QUERY_COUNT):
                request_id = f"q{number}"
                replies.append((request_id, *RawCaller(entry).get(request_id=request_id).read()))
        for request_id, status, head, body in replies:
            stamps = head_value(head, b"x-stamps").decode().split(", ")
            gathered_by = stamps[0].rpartition("-")[2]
            assert (status, head_value(head, b"x-missing")) == (200, b"0")
            assert sorted(stamps) == gathered_stamps(request_id, gathered_by)
            assert body == merged_records(request_id, gathered_by)
        assert gatherer.broken_count >= PEER_QUERY_COUNT // 3
