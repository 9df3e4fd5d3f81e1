"""Guard against answers that break off, or are filled up by a later copy, and reach the caller.

A searcher stops within an answer and closes its connection, or sends the answer once more on the
same connection. The caller must get the whole answer of one response or a failure.
"""

from threading import Event

import pytest

from masticgate import ServiceId
from masticgate.version.gateway import Shards

from .fakes import make_route
from .loopback import RawCaller, StandInSearcher, head_value, reply_to, running_gateway
from .test_gathering_at_peers import running_pair

BODY = b"hello, world"
PAUSE_S = 0.002


def chunked_reply(head: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nx-id: %s\r\nx-stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n" % (
        head_value(head, b"x-id")
    ) + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def unframed_reply(head: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 200 X\r\nx-id: %s\r\nx-stamp: s\r\n\r\n%s" % (
        head_value(head, b"x-id"),
        body,
    )


FRAMINGS = {"length": reply_to, "chunks": chunked_reply, "close": unframed_reply}


class CuttingSearcher(StandInSearcher):
    """A searcher whose answer to ``/a/N/WHEN`` lacks the last N bytes and is followed by a copy.

    ``WHEN`` says when the copy is sent: at once, after a pause, or after the next request.
    """

    def _serve(self, connection):
        copy = b""
        with connection:
            while head := self._read(connection):
                connection.sendall(copy)
                copy = b""
                answer = reply_to(head, BODY)
                _, _, number, when = head.split(b" ")[1].decode().split("/")
                cut = answer[: len(answer) - int(number)]
                match when:
                    case "at-once":
                        connection.sendall(cut + answer)
                    case "later":
                        connection.sendall(cut)
                        Event().wait(PAUSE_S)
                        connection.sendall(answer)
                    case _:
                        connection.sendall(cut)
                        copy = answer


class TestSecondCopies:
    @pytest.mark.parametrize("when", ["at-once", "later", "next-request"])
    def test_no_body_is_filled_up_by_a_copy(self, when):
        searcher = CuttingSearcher(reply_to)
        with running_gateway([make_route()], {"orders": [searcher]}) as gateway:
            for number in range(1, len(BODY) + 1):
                caller = RawCaller(gateway)
                caller.get(f"/a/{number}/{when}", f"q{number}")
                status, _, body = caller.read()
                assert status != 200 or body == BODY, number
                status, _, body = RawCaller(gateway).get(f"/a/0/{when}", f"r{number}").read()
                assert status != 200 or body == BODY, number


class ClosingSearcher(StandInSearcher):
    """A searcher that sends the first ``size`` bytes of each answer and closes the connection."""

    def __init__(self, encode) -> None:
        self.encode = encode
        self.size = 0
        super().__init__(reply_to)

    def _serve(self, connection):
        with connection:
            while head := self._read(connection):
                connection.sendall(self.encode(head, bytes(16))[: self.size])
                return


SHARD = Shards((ServiceId("s1"),), 2, 1.0)


class TestClosedAnswers:
    """Each answer is cut at each offset of its head and body."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_single_request_is_never_answered_as_whole(self, framing):
        searcher = ClosingSearcher(FRAMINGS[framing])
        with running_gateway([make_route(attempts=1)], {"orders": [searcher]}) as gateway:
            for searcher.size in range(self.whole_size(framing)):
                assert RawCaller(gateway).get().read()[0] == 502, searcher.size
                self.forgive(gateway)

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_query_is_never_answered_as_whole_through_a_gatherer(self, framing):
        searcher = ClosingSearcher(FRAMINGS[framing])
        searchers = {"s1": [searcher], "s2": [ClosingSearcher(FRAMINGS[framing])]}
        with running_pair(searchers) as (entry, seed):
            for searcher.size in range(0, self.whole_size(framing), 7):
                searchers["s2"][0].size = searcher.size
                assert RawCaller(entry).get().read()[0] in (502, 503, 504), searcher.size
                self.forgive(entry)
                self.forgive(seed)

    def whole_size(self, framing: str) -> int:
        """Return the size from which on the answer may count as whole.

        An answer without a length ends with its connection, so that a cut body cannot be told.
        """
        request = b"GET /a/x HTTP/1.1\r\nx-id: q1\r\n\r\n"
        answer = FRAMINGS[framing](request, bytes(16))
        return answer.index(b"\r\n\r\n") + 4 if framing == "close" else len(answer)

    def forgive(self, gateway) -> None:
        """Make the gateway use its searchers again, and its budget for repeats."""
        with gateway.fleet.lock:
            for replica in gateway.fleet.replicas.values():
                replica.record_success(gateway.clock.now())
            gateway.fleet.budgets.windows.clear()
