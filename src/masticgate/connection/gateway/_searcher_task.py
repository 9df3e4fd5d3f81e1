"""The connections to searchers, each with a task of its own.

A searcher is a server that runs requests of one service. A call is one attempt to have a request
run by one searcher.

The task opens the connection, sends the call that it was opened for, if any, and then reads
responses. The tasks of the callers' connections send all further calls, so that a call takes only
one hand-over between threads. Since the connection's own task always reads, it detects at once that
the searcher closed an idle connection. Neither waits for a searcher that does not read on: the
caller's task sends the rest of a long request while it waits for the answer.
"""

import select
from threading import Lock
from typing import Protocol

from ..._clock import Clock
from ..._failures import Reason
from ..._ids import Address, ConnectionNumber, Millis, RequestId, SearcherId
from ...request.gateway import Answered, Call, Declined, Lost, Outcome, ReceiveInfo
from ._buffers import KERNEL_STACK_BYTES, SEARCHER_UNREAD_BYTES
from ._client import HttpClient, parse_keep_alive_timeout
from ._encoding import encode_request
from ._header_names import HeaderNames
from ._holding import UNLIMITED_MEMORY, Holding, MemoryBudget, MemoryUse
from ._parser import Oversized
from ._protocol_violations import (
    OversizedResponse,
    ProtocolViolation,
    SkippedResponse,
    TrailingBytes,
    UnrequestedBytes,
)
from ._request_sending import RequestSending
from ._response_parser import ParsedResponse, ResponseParser
from ._searcher_load import Load, decode_load
from ._searcher_notices import Leaving, SearcherNotice, decode_notices, decode_retry_after

CONNECT_TIMEOUT = Millis(300.0)
"""The time limit for opening a connection, many times the round trip within a region.

It bounds the wait for a host that does not respond.
"""

SUSPECT_WAIT = Millis(5.0)
"""How long more bytes are waited for if a body ends like the beginning of another response.

A searcher that stopped within the body may have sent the response again; those bytes would complete
the body of the first one.
"""

RECEIVE_BUFFER_BYTES = 4_096
"""The size of the receive buffer of one connection; most responses of shards fit into it."""


SEARCHER_CONNECTION_BYTES = 44_000
"""The memory of one connection, with its task and the ordinary part of an answer."""

SEARCHER_KERNEL_BYTES = SEARCHER_UNREAD_BYTES + KERNEL_STACK_BYTES


class SearcherTaskHandler(Protocol):
    """Handles the events of connections to searchers; their tasks call it concurrently."""

    def handle_open(self, task: "SearcherTask") -> None:
        """Handle the opening of a connection that has no call yet and is idle."""
        ...

    def handle_outcome(
        self, task: "SearcherTask", call: Call, load: Load | None, *, reusable: bool
    ) -> None:
        """Handle the outcome of a call and the load that the searcher stated, if any.

        If the connection is ``reusable``, it is idle again; otherwise it is about to close.
        """
        ...

    def handle_close(self, task: "SearcherTask", *, connected: bool) -> None:
        """Handle the end of the task; ``connected`` says whether its connection was opened."""
        ...

    def handle_notice(self, task: "SearcherTask", notice: SearcherNotice) -> None:
        """Handle what an answer says about its searcher, before the outcome of a call."""
        ...

    def record_violation(self, task: "SearcherTask", violation: ProtocolViolation) -> None:
        """Record that bytes arrived that do not belong to the response to a call."""
        ...


class SearcherTask:
    """One connection to one searcher, which carries one call at a time.

    ``initial_call`` is the call that the connection is opened for, if any. ``number`` identifies
    the connection in log lines. The bytes of the connection and of unfinished answers are taken
    from ``memory``. ``skipped`` counts the responses that were skipped since the
    last answered call. ``started_at`` is when the latest call began; ``initial_call`` begins with
    the opening of the connection. ``sending`` is the latest request, and ``answered_early`` says
    whether the searcher may have answered it without reading it all. The handler sets
    ``idle_since``; it reads ``idle_since`` and ``keep_alive_timeout`` only while the connection is
    idle.
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
        memory: MemoryBudget = UNLIMITED_MEMORY,
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
        self.sending: RequestSending | None = None
        self.answered_early = False
        self.idle_since = self.started_at
        self.keep_alive_timeout: Millis | None = None
        self.memory = memory
        self.parser = ResponseParser(Holding(memory, MemoryUse.ANSWERS, 0))

    def run(self) -> None:
        """Open the connection and read responses until it ends or an error occurs."""
        self.memory.add(MemoryUse.SEARCHERS, SEARCHER_CONNECTION_BYTES)
        self.memory.add(MemoryUse.KERNEL, SEARCHER_KERNEL_BYTES)
        try:
            self._run()
        except Exception as error:
            self._finish(Lost(self.searcher, True, f"internal error: {error!r}"), connected=True)
            raise
        finally:
            self.memory.release(MemoryUse.SEARCHERS, SEARCHER_CONNECTION_BYTES)
            self.memory.release(MemoryUse.KERNEL, SEARCHER_KERNEL_BYTES)

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
        """Send ``call`` over the idle connection; return ``False`` if it has already ended."""
        with self.lock:
            if self.ended:
                return False
            self.current_call = call
            self.started_at = self.clock.now()
            call.started = True
        self._send(call)
        return True

    def cancel(self, call: Call) -> None:
        """Cancel ``call``: close its connection, or do not send it if it was not started."""
        with self.lock:
            call.cancelled = True
            if self.current_call is call and call.started:
                self.client.abort()

    def withdraw(self, call: Call) -> bool:
        """Cancel ``call`` unless sending it has begun; return whether it was cancelled."""
        with self.lock:
            if call.started:
                return False
            call.cancelled = True
            return True

    def close(self) -> None:
        """Close the connection; any task may call this."""
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
        """Mark the call as started, unless it was cancelled; return whether it was marked."""
        with self.lock:
            call.started = not call.cancelled
        return call.started

    def _send(self, call: Call) -> None:
        """Begin to send the request of a call; the task that waits for the answer sends the rest.

        If that fails, the connection is shut down, and the task that reads detects its end.
        """
        remaining = Millis(call.deadline - self.clock.now())
        blocks = encode_request(call.request, self.header_names, self.searcher, remaining)
        self.sending = RequestSending(self.client, blocks)
        if self.sending.advance():
            call.inbox.finish_sending(call, self.sending)

    def _receive_responses(self) -> Outcome:
        """Handle responses until the connection ends; return the outcome of an unfinished call."""
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
                return Lost(self.searcher, True, "bytes that belong to no request")
            problem = self.parser.feed(buffer[:count])
            if isinstance(problem, Oversized):
                self.handler.record_violation(
                    self, OversizedResponse(self.parser.received_bytes, problem.detail)
                )
                if problem.lacked_memory:
                    return Lost(self.searcher, True, problem.detail, lacked_memory=True)
            reusable = problem is None and not self.parser.in_message
            if not self._handle_responses(reusable=reusable):
                return Lost(self.searcher, True, f"bad response: {problem}")
            if problem is not None:
                return Lost(self.searcher, True, f"bad response: {problem.detail}")

    def _handle_responses(self, *, reusable: bool) -> bool:
        """Complete the call with the response to it; skip others, such as late ones.

        ``reusable`` says that the received bytes were valid and did not end within a response.
        Return ``False`` if the connection has to be closed. That is also so if the searcher may
        not have read the request: the next one would wait behind it, and be read after its caller
        has left.
        """
        responses, self.parser.ready = self.parser.ready, []
        for index, response in enumerate(responses):
            notices = self._handle_notices(response)
            call = self.current_call
            if call is None:
                continue
            if not self._is_response_to(call, response):
                self._record_skipped(call, response)
                continue
            if response.may_be_cut and self._more_bytes_follow():
                return False
            if not reusable or index + 1 < len(responses):
                self.handler.record_violation(self, TrailingBytes(call.request.id))
            self.answered_early = not self._was_request_read(response)
            keep_alive = reusable and response.keep_alive and index + 1 == len(responses)
            keep_alive = keep_alive and not self.answered_early
            self.parser.reset_byte_counts()
            self.keep_alive_timeout = parse_keep_alive_timeout(response.headers_by_name)
            self._complete_call(
                call,
                self._decode_outcome(response, notices),
                decode_load(response.headers_by_name.get(self.header_names.load, b"")),
                reusable=keep_alive,
            )
            if not keep_alive:
                return False
        return True

    def _was_request_read(self, response: ParsedResponse) -> bool:
        """Return whether the searcher has read the request that ``response`` answers."""
        is_success = 200 <= response.status < 300
        return self.sending is None or self.sending.was_read(is_success=is_success)

    def _more_bytes_follow(self) -> bool:
        """Return whether more bytes arrive at once after a complete response."""
        assert self.client.socket is not None
        poller = select.poll()
        poller.register(self.client.socket, select.POLLIN)
        return bool(poller.poll(SUSPECT_WAIT))

    def _outcome_at_close(self) -> Outcome:
        """Return the outcome of the current call after the searcher closed the connection.

        The end of the connection completes a response that states no length.
        """
        if self.client.closed_normally():
            self.parser.feed_eof()
        call = self.current_call
        for response in self.parser.ready:
            notices = self._handle_notices(response)
            if call is not None and self._is_response_to(call, response):
                return self._decode_outcome(response, notices)
        return Lost(self.searcher, True, "closed before the end of the response")

    def _handle_notices(self, response: ParsedResponse) -> list[SearcherNotice]:
        """Report what a response says about the searcher, whichever request it is for."""
        notices = decode_notices(response.status, response.headers_by_name, self.header_names)
        for notice in notices:
            self.handler.handle_notice(self, notice)
        return notices

    def _record_skipped(self, call: Call, response: ParsedResponse) -> None:
        self.skipped += 1
        response_id = response.headers_by_name.get(self.header_names.request_id, b"").decode(
            "latin-1"
        )
        self.handler.record_violation(
            self, SkippedResponse(RequestId(response_id), call.request.id)
        )

    def _is_response_to(self, call: Call, response: ParsedResponse) -> bool:
        """Return whether a response has the id of the call, and not more than one id or stamp."""
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
        self.parser.discard()
        self.handler.handle_close(self, connected=connected)

    def _decode_outcome(self, response: ParsedResponse, notices: list[SearcherNotice]) -> Outcome:
        if response.status == 421:
            return Declined(self.searcher, Reason.NO_SEARCHER)
        if self.header_names.not_run in response.headers_by_name:
            retry_after = decode_retry_after(response.headers_by_name, self.header_names)
            return Declined(self.searcher, Reason.SEARCHER_SHED, retry_after)
        stamp = response.headers_by_name.get(self.header_names.stamp, b"").decode("latin-1")
        latency = Millis(self.clock.now() - self.started_at)
        headers = tuple(response.headers)
        receive_info = ReceiveInfo(self.number, response.framing, self.skipped)
        self.skipped = 0
        return Answered(
            self.searcher,
            response.status,
            headers,
            response.body,
            stamp,
            latency,
            receive_info,
            Leaving() in notices,
        )
