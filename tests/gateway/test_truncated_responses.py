"""An answer that was cut short and is filled up with the bytes of the next one."""

import threading

import pytest

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId
from masticgate.connection.gateway import SearcherTask
from masticgate.request.gateway import Answered, Call
from masticgate.version.gateway import Shards

from .fakes import HEADER_NAMES, ORDERS, make_request, make_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway
from .test_buffers import UnreadInbox, connect_pair
from .test_irregular_responses import RecordingHandler

RECORDS = bytes(range(64))
RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s\r\nContent-Length: 64\r\n\r\n" + RECORDS


def run_call(data: bytes) -> list[object]:
    """Return the outcomes of one call whose searcher sends ``data`` and hangs up."""
    near, far = connect_pair()
    handler = RecordingHandler()
    task = SearcherTask(
        SearcherId("s1"), Address("127.0.0.1:9"), handler, HEADER_NAMES, ManualClock()
    )
    task.client.socket = near
    call = Call(make_request("q1"), make_route(), ServiceId("orders"), Millis(400.0), UnreadInbox())
    assert task.dispatch(call)
    assert far.recv(65_536).endswith(b"\r\n\r\n")
    far.sendall(data)
    far.close()
    reader = threading.Thread(
        target=lambda: task._finish(task._receive_responses(), connected=True), daemon=True
    )
    reader.start()
    reader.join(5)
    assert not reader.is_alive()
    return handler.outcomes


class TestTruncatedBody:
    # Guards against the head of a late second answer passed on as the end of the first one's body.
    @pytest.mark.parametrize("missing", [1, 16, 17, 48, 63])
    def test_is_no_success_when_the_second_answer_fills_it_up(self, missing):
        (outcome,) = run_call(RESPONSE[:-missing] + RESPONSE)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS

    # Guards against a cut answer that is filled up with the bytes of another request's answer.
    def test_is_no_success_when_another_requests_answer_fills_it_up(self):
        (outcome,) = run_call(RESPONSE[:-16] + RESPONSE.replace(b"q1", b"q0"))
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS


class TestTruncatedHead:
    # Guards against a success whose stamp ends with the status line of the next answer.
    def test_bears_no_stamp_with_foreign_bytes(self):
        (outcome,) = run_call(b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s" + RESPONSE)
        assert not isinstance(outcome, Answered) or outcome.stamp == "s"
        assert not isinstance(outcome, Answered) or len(outcome.headers) == 3

    # Guards against a searcher's failure passed on under the status of an earlier request's answer.
    def test_lends_no_status_to_the_failure_behind_it(self):
        failure = RESPONSE.replace(b"200 OK", b"500 No")
        (outcome,) = run_call(b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s" + failure)
        assert not isinstance(outcome, Answered) or outcome.status == 500


class TestResponseWithoutLength:
    # Guards against a late second answer of an earlier request as part of a body without a length.
    def test_is_no_success_when_an_earlier_requests_answer_comes_within_it(self):
        without_length = RESPONSE.replace(b"Content-Length: 64\r\n", b"")
        late_response = RESPONSE.replace(b"q1", b"q0")
        (outcome,) = run_call(without_length + late_response)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS

    # Guards against a second copy of the same answer as part of a body without a length.
    def test_is_no_success_when_its_own_copy_comes_within_it(self):
        without_length = RESPONSE.replace(b"Content-Length: 64\r\n", b"")
        (outcome,) = run_call(without_length + without_length)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS


def truncated_then_complete(head: bytes) -> bytes:
    """Return an answer that lacks its last 16 bytes, and the same answer once more."""
    response = reply_to(head, RECORDS)
    return response[:-16] + response


class TestCallerOfTruncatedResponse:
    # Guards against a caller that gets the head of a late second answer in its body.
    @pytest.mark.parametrize("target", [ORDERS, Shards((ServiceId("orders"),), 4, 1.0)])
    def test_gets_no_success_with_foreign_bytes(self, target):
        searcher = StandInSearcher(truncated_then_complete)
        route = make_route(target, attempts=1)
        with running_gateway([route], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            status, _, body = caller.get().read()
            caller.close()
        assert status >= 500 or sorted(body) == sorted(RECORDS)
