"""One task for each connection to a searcher."""

from dataclasses import dataclass
from enum import Enum
from queue import Empty, SimpleQueue
from threading import Lock
from typing import Protocol

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._failures import Reason
from ..._ids import Address, Millis, SearcherId
from ...request.gateway import Answered, Call, Declined, Lost, Outcome
from ._client import BadReply, HttpClient, HttpResponse, NoReply
from ._dialect import Dialect
from ._encoding import encode_request

CONNECT_TIMEOUT = Millis(300.0)
"""Many times the round trip within a region; a silent host is given up after it."""

IDLE_DEFAULT = Millis(4_000.0)
"""How long a connection is kept idle where the searcher states no time."""

IDLE_LONGEST = Millis(10_000.0)
IDLE_MARGIN = Millis(700.0)
"""A connection is closed so long before the searcher would close it."""


@dataclass(frozen=True, slots=True)
class Closing:
    """The connection is no longer wanted."""


@dataclass(frozen=True, slots=True)
class Load:
    """What a searcher says of itself; it may lag or mislead."""

    running: int
    waiting: int
    slots: int


class Idleness(Enum):
    """What becomes of a connection that was idle for long."""

    BUSY = "busy"
    RENEW = "renew"
    CLOSE = "close"


class TaskOwner(Protocol):
    """Who decides what the tasks of a searcher's connections do."""

    def finish(self, task: "SearcherTask", call: Call, load: Load | None) -> None:
        """Take the outcome of a call; the task is free again."""
        ...

    def idle_expired(self, task: "SearcherTask") -> Idleness:
        """Decide about a connection that was idle for long."""
        ...

    def renewed(self, task: "SearcherTask", connected: bool) -> None:
        """Note that a connection without work opened, or could not."""
        ...

    def ended(self, task: "SearcherTask") -> None:
        """Note that the task has ended."""
        ...


class SearcherTask:
    """One connection to one searcher; it serves one call at a time."""

    def __init__(
        self,
        searcher: SearcherId,
        address: Address,
        owner: TaskOwner,
        dialect: Dialect,
        clock: Clock,
    ) -> None:
        self.searcher = searcher
        self.address = address
        self.owner = owner
        self.dialect = dialect
        self.clock = clock
        self.client = HttpClient(address, clock)
        self.work: SimpleQueue[Call | Closing] = SimpleQueue()
        self.lock = Lock()
        self.current: Call | None = None

    def run(self) -> None:
        """Serve calls until told to close."""
        while True:
            match self._next():
                case Call() as call:
                    self._serve(call)
                case Closing():
                    break
                case None:
                    match self.owner.idle_expired(self):
                        case Idleness.CLOSE:
                            break
                        case Idleness.RENEW:
                            self.renew()
                        case Idleness.BUSY:
                            continue
        self.client.close()
        self.owner.ended(self)

    def cancel(self, call: Call) -> None:
        """Cut the connection if it serves ``call``; a call that waits is dropped unsent."""
        call.cancelled = True
        with self.lock:
            if self.current is call and call.started:
                self.client.abort()

    def renew(self) -> None:
        """Open the connection anew, so that the next call finds a warm one."""
        self.client.close()
        self.owner.renewed(self, self.client.connect(CONNECT_TIMEOUT) is None)

    def _next(self) -> Call | Closing | None:
        kept = IDLE_DEFAULT if self.client.keep_for is None else self.client.keep_for
        wait = max(IDLE_MARGIN, min(IDLE_LONGEST, Millis(kept - IDLE_MARGIN)))
        try:
            return self.work.get(timeout=wait / MILLIS_PER_SECOND)
        except Empty:
            return None

    def _serve(self, call: Call) -> None:
        began = self.clock.now()
        with self.lock:
            self.current = call
        call.outcome, load = self._exchange(call, began)
        with self.lock:
            self.current = None
        if self.client.aborted:
            self.client.close()
        self.owner.finish(self, call, load)
        call.inbox.put(call)

    def _exchange(self, call: Call, began: Millis) -> tuple[Outcome, Load | None]:
        if self.client.is_stale():
            self.client.close()
        wait = min(CONNECT_TIMEOUT, Millis(call.deadline - began))
        failed = self.client.connect(wait)
        if failed is not None:
            return Lost(self.searcher, False, failed.detail), None
        call.started = not call.cancelled
        if not call.started or call.cancelled:
            return Lost(self.searcher, False, "cancelled before it was sent"), None
        left = Millis(call.deadline - self.clock.now())
        data = encode_request(call.request, self.dialect, self.searcher, left)
        failed = self.client.send(data, call.deadline)
        if failed is not None:
            return Lost(self.searcher, failed.sent, failed.detail), None
        expected = (self.dialect.request_id, call.request.id.encode("latin-1"))
        reply = self.client.receive(call.deadline, expected)
        match reply:
            case NoReply(sent=sent, detail=detail):
                return Lost(self.searcher, sent, detail), None
            case BadReply(detail=detail):
                return Lost(self.searcher, True, f"bad reply: {detail}"), None
            case HttpResponse() as response:
                return self._read(response, began), self._load(response)

    def _read(self, response: HttpResponse, began: Millis) -> Outcome:
        if response.status == 421:
            return Declined(self.searcher, Reason.NO_SEARCHER)
        if response.header(self.dialect.not_run) is not None:
            return Declined(self.searcher, Reason.SEARCHER_SHED)
        stamp = (response.header(self.dialect.stamp) or b"").decode("latin-1")
        latency = Millis(self.clock.now() - began)
        return Answered(
            self.searcher, response.status, response.headers, response.body, stamp, latency
        )

    def _load(self, response: HttpResponse) -> Load | None:
        parts = (response.header(self.dialect.load) or b"").split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return None
        running, waiting, slots = (int(part) for part in parts)
        return Load(running, waiting, slots)
