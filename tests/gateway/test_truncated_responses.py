"""Tests of truncated responses that are followed by another response.

The bytes of the second must not complete the first, so that a caller never gets a mix of both.
"""

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
    """Return the outcomes of one call whose searcher sends ``data`` and closes the connection."""
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
    # Guards against a body that ends with the head of a second, late copy of the response.
    @pytest.mark.parametrize("missing", [1, 16, 17, 48, 63])
    def test_has_no_bytes_of_second_copy(self, missing):
        (outcome,) = run_call(RESPONSE[:-missing] + RESPONSE)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS

    # Guards against a body that ends with the bytes of the response to another request.
    def test_has_no_bytes_of_response_to_another_request(self):
        (outcome,) = run_call(RESPONSE[:-16] + RESPONSE.replace(b"q1", b"q0"))
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS


class TestTruncatedHead:
    # Guards against a success whose stamp ends with the status line of the next response.
    def test_stamp_has_no_bytes_of_next_response(self):
        (outcome,) = run_call(b"HTTP/1.1 200 OK\r\nx-id: q1\r\nx-stamp: s" + RESPONSE)
        assert not isinstance(outcome, Answered) or outcome.stamp == "s"
        assert not isinstance(outcome, Answered) or len(outcome.headers) == 3

    # Guards against a failure of a searcher that is returned with the status of another, truncated
    # response to an earlier request.
    def test_status_is_not_used_for_failure_that_follows(self):
        failure = RESPONSE.replace(b"200 OK", b"500 No")
        (outcome,) = run_call(b"HTTP/1.1 200 OK\r\nx-id: q0\r\nx-stamp: s" + failure)
        assert not isinstance(outcome, Answered) or outcome.status == 500


class TestResponseWithoutLength:
    # Guards against a body without a length that contains a late response to an earlier request.
    def test_body_has_no_bytes_of_response_to_earlier_request(self):
        without_length = RESPONSE.replace(b"Content-Length: 64\r\n", b"")
        late_response = RESPONSE.replace(b"q1", b"q0")
        (outcome,) = run_call(without_length + late_response)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS

    # Guards against a body without a length that contains a second copy of the same response.
    def test_body_has_no_bytes_of_second_copy(self):
        without_length = RESPONSE.replace(b"Content-Length: 64\r\n", b"")
        (outcome,) = run_call(without_length + without_length)
        assert not isinstance(outcome, Answered) or outcome.body == RECORDS


def truncated_then_complete(head: bytes) -> bytes:
    """Return a response without its last 16 bytes, followed by the complete response."""
    response = reply_to(head, RECORDS)
    return response[:-16] + response


class TestCallerOfTruncatedResponse:
    # Guards against a reply whose body contains the head of a second copy of the response.
    @pytest.mark.parametrize("target", [ORDERS, Shards((ServiceId("orders"),), 4, 1.0)])
    def test_gets_error_or_exactly_the_records(self, target):
        searcher = StandInSearcher(truncated_then_complete)
        route = make_route(target, attempts=1)
        with running_gateway([route], {"orders": [searcher]}) as gateway:
            caller = RawCaller(gateway)
            status, _, body = caller.get().read()
            caller.close()
        assert status >= 500 or sorted(body) == sorted(RECORDS)
