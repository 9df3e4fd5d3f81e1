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
from ...request.gateway import Answered, Call, Declined, Lost, Outcome, Receipt
from ._client import HttpClient, keep_alive_timeout
from ._encoding import encode_request
from ._header_names import HeaderNames
from ._parser import read_number
from ._response_parser import ParsedResponse, ResponseParser

CONNECT_TIMEOUT = Millis(300.0)
"""Many times the round trip within a region; a silent host is given up after it."""

RECEIVE_BYTES = 4_096
"""The buffer of one connection; most answers of shards fit in it whole."""


@dataclass(frozen=True, slots=True)
class Load:
    """What a searcher says of itself; it may lag or mislead."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class SkippedAnswer:
    """A whole answer that bears another request's id, or none, came while a call waited."""

    answered: RequestId
    expected: RequestId


@dataclass(frozen=True, slots=True)
class UnrequestedBytes:
    """Bytes came while no call was on the connection, which ends."""

    count: int


@dataclass(frozen=True, slots=True)
class TrailingBytes:
    """More bytes came with a whole answer; its connection ends."""

    request: RequestId


Irregularity = SkippedAnswer | UnrequestedBytes | TrailingBytes


class TaskOwner(Protocol):
    """Who decides what the tasks of a searcher's connections do."""

    def opened(self, task: "SearcherTask") -> None:
        """Note that a connection without work opened."""
        ...

    def finish(
        self, task: "SearcherTask", call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Take the outcome of a call; a ``reusable`` connection is idle again."""
        ...

    def ended(self, task: "SearcherTask", *, connected: bool) -> None:
        """Note that the task has ended; ``connected`` tells whether it ever opened."""
        ...

    def note(self, task: "SearcherTask", irregularity: Irregularity) -> None:
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
        owner: TaskOwner,
        header_names: HeaderNames,
        clock: Clock,
        first: Call | None = None,
        number: ConnectionNumber = ConnectionNumber(0),
    ) -> None:
        self.number = number
        self.skipped = 0
        self.searcher = searcher
        self.owner = owner
        self.header_names = header_names
        self.clock = clock
        self.client = HttpClient(address, clock)
        self.lock = Lock()
        self.current = first
        self.was_given = first is not None
        self.began = clock.now()
        self.ended = False
        self.sending = Lock()
        self.idle_since = self.began
        self.keep_for: Millis | None = None
        self.parser = ResponseParser()

    def run(self) -> None:
        """Connect, then read until the connection ends; an error ends it too."""
        try:
            self._run()
        except Exception as error:
            self._end(Lost(self.searcher, True, f"internal error: {error!r}"), connected=True)
            raise

    def _run(self) -> None:
        wait = CONNECT_TIMEOUT
        if self.current is not None:
            wait = min(wait, Millis(self.current.deadline - self.began))
        failed = self.client.connect(wait)
        if failed is not None:
            self._end(Lost(self.searcher, False, failed.detail), connected=False)
            return
        self._begin()
        self._end(self._read_all(), connected=True)

    def give(self, call: Call) -> bool:
        """Send ``call`` over the idle connection; return ``False`` if it has just ended."""
        with self.lock:
            if self.ended:
                return False
            self.current = call
            self.began = self.clock.now()
            call.started = True
        self._send(call)
        return True

    def cancel(self, call: Call) -> None:
        """Cut the connection if it serves ``call``; a call that waits is dropped unsent."""
        with self.lock:
            call.cancelled = True
            if self.current is call and call.started:
                self.client.abort()

    def close(self) -> None:
        """End the connection; any task may call this."""
        self.client.abort()

    def _begin(self) -> None:
        """Send the call that the connection was opened for, if any."""
        assert self.client.socket is not None
        self.client.socket.settimeout(None)
        call = self.current
        if call is None:
            self.owner.opened(self)
        elif self._start(call):
            self._send(call)
        else:
            self._finish(call, Lost(self.searcher, False, "cancelled before it was sent"), None)

    def _start(self, call: Call) -> bool:
        """Mark the call as started; return ``False`` where it was cancelled before."""
        with self.lock:
            call.started = not call.cancelled
        return call.started

    def _send(self, call: Call) -> None:
        """Send the call's request; where that fails, the reading task notices the end.

        An answer may come before the request is sent whole: what follows waits for its rest.
        """
        left = Millis(call.deadline - self.clock.now())
        data = memoryview(encode_request(call.request, self.header_names, self.searcher, left))
        with self.sending:
            try:
                while data and self.client.socket is not None:
                    data = data[self._send_some(data, call.deadline) :]
            except OSError:
                self.client.abort()

    def _send_some(self, data: memoryview, deadline: Millis) -> int:
        """Send what the connection takes; return how much, which is none after a wait."""
        try:
            return self.client.send_now(data)
        except BlockingIOError:
            if self._wait_writable(deadline):
                return 0
            raise

    def _wait_writable(self, deadline: Millis) -> bool:
        opened = self.client.socket
        descriptor = -1 if opened is None else opened.fileno()
        if descriptor < 0:
            return False
        poller = select.poll()
        poller.register(descriptor, select.POLLOUT)
        return bool(poller.poll(max(0, deadline - self.clock.now())))

    def _read_all(self) -> Outcome:
        """Read answers until the connection ends; return what that means for an open call."""
        opened = self.client.socket
        assert opened is not None
        buffer = memoryview(bytearray(RECEIVE_BYTES))
        while True:
            try:
                count = opened.recv_into(buffer)
            except OSError as error:
                return Lost(self.searcher, True, f"receive: {error}")
            if not count:
                return self._read_end()
            if self.current is None:
                self.owner.note(self, UnrequestedBytes(count))
                return Lost(self.searcher, True, "bytes that nobody asked for")
            problem = self.parser.feed(buffer[:count])
            reusable = problem is None and not self.parser.begun
            if not self._take_answers(reusable=reusable):
                return Lost(self.searcher, True, f"bad reply: {problem}")
            if problem is not None:
                return Lost(self.searcher, True, f"bad reply: {problem.detail}")

    def _take_answers(self, *, reusable: bool) -> bool:
        """Finish the call with the answer that is its own; others are late and skipped.

        Return ``False`` where the connection has to end.
        """
        answers, self.parser.ready = self.parser.ready, []
        for position, answer in enumerate(answers):
            call = self.current
            if call is None:
                continue
            if not self._is_for(call, answer):
                self._skip(call, answer)
                continue
            if not reusable or position + 1 < len(answers):
                self.owner.note(self, TrailingBytes(call.request.id))
            keeps = reusable and answer.keep_alive and position + 1 == len(answers)
            self.parser.accept()
            self.keep_for = keep_alive_timeout(answer.fields)
            self._finish(call, self._read(answer), self._load(answer), reusable=keeps)
            if not keeps:
                return False
        return True

    def _read_end(self) -> Outcome:
        """Return the outcome of a call whose answer ends with the connection."""
        if self.client.ended_in_order():
            self.parser.end()
        call = self.current
        for answer in self.parser.ready:
            if call is not None and self._is_for(call, answer):
                return self._read(answer)
        return Lost(self.searcher, True, "closed before the end of a response")

    def _skip(self, call: Call, answer: ParsedResponse) -> None:
        self.skipped += 1
        answered = answer.fields.get(self.header_names.request_id, b"").decode("latin-1")
        self.owner.note(self, SkippedAnswer(RequestId(answered), call.request.id))

    def _is_for(self, call: Call, answer: ParsedResponse) -> bool:
        """Tell whether an answer bears the call's id and no second id or stamp."""
        expected = call.request.id.encode("latin-1")
        own = answer.fields.get(self.header_names.request_id) == expected
        return own and answer.repeated.isdisjoint(
            (self.header_names.request_id, self.header_names.stamp)
        )

    def _finish(
        self, call: Call, outcome: Outcome, load: Load | None, *, reusable: bool = True
    ) -> None:
        call.outcome = outcome
        with self.lock:
            self.current = None
            self.ended = not reusable or self.client.aborted
        self.owner.finish(self, call, load, reusable=not self.ended)
        call.inbox.put(call)

    def _end(self, outcome: Outcome, *, connected: bool) -> None:
        with self.lock:
            self.ended = True
        if self.current is not None:
            self._finish(self.current, outcome, None, reusable=False)
        self.client.close()
        self.owner.ended(self, connected=connected)

    def _read(self, answer: ParsedResponse) -> Outcome:
        if answer.status == 421:
            return Declined(self.searcher, Reason.NO_SEARCHER)
        if self.header_names.not_run in answer.fields:
            return Declined(self.searcher, Reason.SEARCHER_SHED)
        stamp = answer.fields.get(self.header_names.stamp, b"").decode("latin-1")
        latency = Millis(self.clock.now() - self.began)
        headers = tuple(answer.headers)
        receipt = Receipt(self.number, answer.ending, self.skipped)
        self.skipped = 0
        return Answered(self.searcher, answer.status, headers, answer.body, stamp, latency, receipt)

    def _load(self, answer: ParsedResponse) -> Load | None:
        parts = answer.fields.get(self.header_names.load, b"").split(b",")
        match [read_number(part) for part in parts]:
            case [int(running), int(waiting), int(slots)]:
                return Load(running, waiting, slots)
            case _:
                return None
