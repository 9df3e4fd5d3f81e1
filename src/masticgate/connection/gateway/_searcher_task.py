"""One task for each connection to a searcher.

The task connects and then reads; the task of the caller's connection sends, so that a call costs
one hand-over between threads. Since the task always reads, it notices at once when the searcher
closes an idle connection.
"""

import select
from dataclasses import dataclass
from threading import Lock
from typing import Protocol

from ..._clock import Clock
from ..._failures import Reason
from ..._ids import Address, ConnectionNumber, Millis, RequestId, SearcherId
from ...request.gateway import Answered, Call, Declined, Lost, Outcome, ReceiveInfo
from ._client import HttpClient, parse_keep_alive_timeout
from ._encoding import encode_request
from ._header_names import HeaderNames
from ._parser import parse_number
from ._response_parser import ParsedResponse, ResponseParser

CONNECT_TIMEOUT = Millis(300.0)
"""Many times the round trip within a region; a silent host is given up after it."""

RECEIVE_BUFFER_BYTES = 4_096
"""The buffer of one connection; most answers of shards fit in it whole."""


@dataclass(frozen=True, slots=True)
class Load:
    """What a searcher says of itself; it may lag or mislead."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class SkippedResponse:
    """A whole answer that bears another request's id, or none, came while a call waited."""

    response_id: RequestId
    expected_id: RequestId


@dataclass(frozen=True, slots=True)
class UnrequestedBytes:
    """Bytes came while no call was on the connection, which ends."""

    count: int


@dataclass(frozen=True, slots=True)
class TrailingBytes:
    """More bytes came with a whole answer; its connection ends."""

    request: RequestId


ProtocolViolation = SkippedResponse | UnrequestedBytes | TrailingBytes


class SearcherTaskHandler(Protocol):
    """Who decides what the tasks of a searcher's connections do."""

    def handle_open(self, task: "SearcherTask") -> None:
        """Note that a connection without work opened."""
        ...

    def handle_outcome(
        self, task: "SearcherTask", call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Take the outcome of a call; a ``reusable`` connection is idle again."""
        ...

    def handle_close(self, task: "SearcherTask", *, connected: bool) -> None:
        """Note that the task has ended; ``connected`` tells whether it ever opened."""
        ...

    def record_violation(self, task: "SearcherTask", violation: ProtocolViolation) -> None:
        """Note bytes that belong to no call of the connection."""
        ...


class SearcherTask:
    """One connection to one searcher; it serves one call at a time.

    ``idle_since`` and ``keep_for`` belong to the owner's lock; ``number`` names the connection in
    log lines.
    """

    def __init__(
        self,
        searcher: SearcherId,
        address: Address,
        handler: SearcherTaskHandler,
        header_names: HeaderNames,
        clock: Clock,
        initial_call: Call | None = None,
        number: ConnectionNumber = ConnectionNumber(0),
    ) -> None:
        self.number = number
        self.skipped = 0
        self.searcher = searcher
        self.handler = handler
        self.header_names = header_names
        self.clock = clock
        self.client = HttpClient(address, clock)
        self.lock = Lock()
        self.current_call = initial_call
        self.opened_for_call = initial_call is not None
        self.started_at = clock.now()
        self.ended = False
        self.send_lock = Lock()
        self.idle_since = self.started_at
        self.keep_alive_timeout: Millis | None = None
        self.parser = ResponseParser()

    def run(self) -> None:
        """Connect, then read until the connection ends; an error ends it too."""
        try:
            self._run()
        except Exception as error:
            self._finish(Lost(self.searcher, True, f"internal error: {error!r}"), connected=True)
            raise

    def _run(self) -> None:
        wait = CONNECT_TIMEOUT
        if self.current_call is not None:
            wait = min(wait, Millis(self.current_call.deadline - self.started_at))
        failure = self.client.connect(wait)
        if failure is not None:
            self._finish(Lost(self.searcher, False, failure.detail), connected=False)
            return
        self._send_initial_call()
        self._finish(self._receive_responses(), connected=True)

    def dispatch(self, call: Call) -> bool:
        """Send ``call`` over the idle connection; return ``False`` if it has just ended."""
        with self.lock:
            if self.ended:
                return False
            self.current_call = call
            self.started_at = self.clock.now()
            call.started = True
        self._send(call)
        return True

    def cancel(self, call: Call) -> None:
        """Cut the connection if it serves ``call``; a call that waits is dropped unsent."""
        with self.lock:
            call.cancelled = True
            if self.current_call is call and call.started:
                self.client.abort()

    def close(self) -> None:
        """End the connection; any task may call this."""
        self.client.abort()

    def _send_initial_call(self) -> None:
        """Send the call that the connection was opened for, if any."""
        assert self.client.socket is not None
        self.client.socket.settimeout(None)
        call = self.current_call
        if call is None:
            self.handler.handle_open(self)
        elif self._mark_started(call):
            self._send(call)
        else:
            self._complete_call(
                call, Lost(self.searcher, False, "cancelled before it was sent"), None
            )

    def _mark_started(self, call: Call) -> bool:
        """Mark the call as started; return ``False`` where it was cancelled before."""
        with self.lock:
            call.started = not call.cancelled
        return call.started

    def _send(self, call: Call) -> None:
        """Send the call's request; where that fails, the reading task notices the end.

        An answer may come before the request is sent whole: what follows waits for its rest.
        """
        remaining = Millis(call.deadline - self.clock.now())
        data = memoryview(encode_request(call.request, self.header_names, self.searcher, remaining))
        with self.send_lock:
            try:
                while data and self.client.socket is not None:
                    data = data[self._send_some(data, call.deadline) :]
            except OSError:
                self.client.abort()

    def _send_some(self, data: memoryview, deadline: Millis) -> int:
        """Send what the connection takes; return how much, which is none after a wait."""
        try:
            return self.client.send_nowait(data)
        except BlockingIOError:
            if self._wait_writable(deadline):
                return 0
            raise

    def _wait_writable(self, deadline: Millis) -> bool:
        connection = self.client.socket
        descriptor = -1 if connection is None else connection.fileno()
        if descriptor < 0:
            return False
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        return bool(poller.poll(max(0, deadline - self.clock.now())))

    def _receive_responses(self) -> Outcome:
        """Read answers until the connection ends; return what that means for an open call."""
        connection = self.client.socket
        assert connection is not None
        buffer = memoryview(bytearray(RECEIVE_BUFFER_BYTES))
        while True:
            try:
                count = connection.recv_into(buffer)
            except OSError as error:
                return Lost(self.searcher, True, f"receive: {error}")
            if not count:
                return self._outcome_at_close()
            if self.current_call is None:
                self.handler.record_violation(self, UnrequestedBytes(count))
                return Lost(self.searcher, True, "bytes that nobody asked for")
            problem = self.parser.feed(buffer[:count])
            reusable = problem is None and not self.parser.in_message
            if not self._handle_responses(reusable=reusable):
                return Lost(self.searcher, True, f"bad reply: {problem}")
            if problem is not None:
                return Lost(self.searcher, True, f"bad reply: {problem.detail}")

    def _handle_responses(self, *, reusable: bool) -> bool:
        """Finish the call with the answer that is its own; others are late and skipped.

        Return ``False`` where the connection has to end.
        """
        responses, self.parser.ready = self.parser.ready, []
        for index, response in enumerate(responses):
            call = self.current_call
            if call is None:
                continue
            if not self._is_response_to(call, response):
                self._record_skipped(call, response)
                continue
            if not reusable or index + 1 < len(responses):
                self.handler.record_violation(self, TrailingBytes(call.request.id))
            keep_alive = reusable and response.keep_alive and index + 1 == len(responses)
            self.parser.reset_byte_counts()
            self.keep_alive_timeout = parse_keep_alive_timeout(response.headers_by_name)
            self._complete_call(
                call,
                self._decode_outcome(response),
                self._decode_load(response),
                reusable=keep_alive,
            )
            if not keep_alive:
                return False
        return True

    def _outcome_at_close(self) -> Outcome:
        """Return the outcome of a call whose answer ends with the connection."""
        if self.client.closed_cleanly():
            self.parser.feed_eof()
        call = self.current_call
        for response in self.parser.ready:
            if call is not None and self._is_response_to(call, response):
                return self._decode_outcome(response)
        return Lost(self.searcher, True, "closed before the end of a response")

    def _record_skipped(self, call: Call, response: ParsedResponse) -> None:
        self.skipped += 1
        response_id = response.headers_by_name.get(self.header_names.request_id, b"").decode(
            "latin-1"
        )
        self.handler.record_violation(
            self, SkippedResponse(RequestId(response_id), call.request.id)
        )

    def _is_response_to(self, call: Call, response: ParsedResponse) -> bool:
        """Tell whether an answer bears the call's id and no second id or stamp."""
        expected = call.request.id.encode("latin-1")
        own = response.headers_by_name.get(self.header_names.request_id) == expected
        return own and response.repeated_names.isdisjoint(
            (self.header_names.request_id, self.header_names.stamp)
        )

    def _complete_call(
        self, call: Call, outcome: Outcome, load: Load | None, *, reusable: bool = True
    ) -> None:
        call.outcome = outcome
        with self.lock:
            self.current_call = None
            self.ended = not reusable or self.client.aborted
        self.handler.handle_outcome(self, call, load, reusable=not self.ended)
        call.inbox.put(call)

    def _finish(self, outcome: Outcome, *, connected: bool) -> None:
        with self.lock:
            self.ended = True
        if self.current_call is not None:
            self._complete_call(self.current_call, outcome, None, reusable=False)
        self.client.close()
        self.handler.handle_close(self, connected=connected)

    def _decode_outcome(self, response: ParsedResponse) -> Outcome:
        if response.status == 421:
            return Declined(self.searcher, Reason.NO_SEARCHER)
        if self.header_names.not_run in response.headers_by_name:
            return Declined(self.searcher, Reason.SEARCHER_SHED)
        stamp = response.headers_by_name.get(self.header_names.stamp, b"").decode("latin-1")
        latency = Millis(self.clock.now() - self.started_at)
        headers = tuple(response.headers)
        receive_info = ReceiveInfo(self.number, response.framing, self.skipped)
        self.skipped = 0
        return Answered(
            self.searcher, response.status, headers, response.body, stamp, latency, receive_info
        )

    def _decode_load(self, response: ParsedResponse) -> Load | None:
        parts = response.headers_by_name.get(self.header_names.load, b"").split(b",")
        match [parse_number(part) for part in parts]:
            case [int(running), int(waiting), int(slots)]:
                return Load(running, waiting, slots)
            case _:
                return None
