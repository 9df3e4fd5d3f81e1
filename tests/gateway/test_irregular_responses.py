"""Tests of irregular responses of searchers.

They belong to none of a connection's calls, state no length, or make its task fail.
"""

import json
import threading

import pytest

from masticgate import Address, ManualClock, Millis, SearcherId, ServiceId
from masticgate._ids import ConnectionNumber
from masticgate.connection.gateway import (
    SearcherTask,
    SkippedResponse,
    TrailingBytes,
    UnrequestedBytes,
)
from masticgate.process.gateway._service import _describe_reply
from masticgate.request.gateway import Answered, BodyFraming, Call, Lost, Merged, ReceiveInfo

from .fakes import HEADER_NAMES, make_entry, make_fleet, make_request, make_route
from .test_buffers import TaskHandler, UnreadInbox, connect_pair

RESPONSE = b"HTTP/1.1 200 OK\r\nx-id: %s\r\nx-stamp: s\r\nContent-Length: 2\r\n\r\nok"
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nx-id: %s\r\nx-stamp: s\r\n\r\nok"


class RecordingHandler(TaskHandler):
    """A handler that records the protocol violations of a task and the outcomes of its calls."""

    def __init__(self) -> None:
        super().__init__()
        self.violations = []
        self.outcomes = []

    def handle_outcome(self, task, call, load, *, reusable):
        self.outcomes.append(call.outcome)
        super().handle_outcome(task, call, load, reusable=reusable)

    def handle_notice(self, task, notice):
        pass

    def record_violation(self, task, violation):
        self.violations.append(violation)


class RunningTask:
    """A task that reads one connection, and the searcher's end of that connection."""

    def __init__(self) -> None:
        near, self.far = connect_pair()
        self.handler = RecordingHandler()
        self.task = SearcherTask(
            SearcherId("s1"),
            Address("127.0.0.1:9"),
            self.handler,
            HEADER_NAMES,
            ManualClock(),
            number=ConnectionNumber(7),
        )
        self.task.client.socket = near
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        self.task._finish(self.task._receive_responses(), connected=True)

    def run_call(self, request_id: str, response: bytes) -> None:
        call = Call(
            make_request(request_id),
            make_route(),
            ServiceId("orders"),
            Millis(400.0),
            UnreadInbox(),
        )
        assert self.task.dispatch(call)
        assert self.far.recv(65_536).endswith(b"\r\n\r\n")
        self.far.sendall(response)

    def close(self) -> None:
        self.far.close()
        self.reader.join(5)
        assert not self.reader.is_alive()


class TestViolations:
    def test_response_to_another_request_is_recorded_and_skipped(self):
        running_task = RunningTask()
        running_task.run_call("q2", RESPONSE % b"q1" + RESPONSE % b"q2")
        assert running_task.handler.finished.acquire(timeout=5)
        running_task.run_call("q3", RESPONSE % b"q3")
        assert running_task.handler.finished.acquire(timeout=5)
        running_task.close()
        assert running_task.handler.outcomes[1].receive_info.is_regular
        assert running_task.handler.violations == [SkippedResponse("q1", "q2")]
        receive_info = running_task.handler.outcomes[0].receive_info
        assert receive_info == ReceiveInfo(ConnectionNumber(7), BodyFraming.LENGTH, 1)
        assert not receive_info.is_regular

    def test_bytes_after_response_are_recorded(self):
        running_task = RunningTask()
        running_task.run_call("q1", RESPONSE % b"q1" + b"more")
        running_task.close()
        assert running_task.handler.violations == [TrailingBytes("q1")]

    def test_bytes_on_idle_connection_are_recorded(self):
        running_task = RunningTask()
        running_task.far.sendall(b"nobody asked")
        running_task.close()
        assert running_task.handler.violations == [UnrequestedBytes(len(b"nobody asked"))]

    def test_response_without_length_is_recorded_as_ended_by_close(self):
        running_task = RunningTask()
        running_task.run_call("q1", RESPONSE_WITHOUT_LENGTH % b"q1")
        running_task.close()
        assert running_task.handler.outcomes[0].receive_info.framing is BodyFraming.CLOSE


class TestFleetViolations:
    def test_each_is_logged_with_connection_number_and_counted(self):
        fleet = make_fleet()
        fleet.apply_listing(make_entry("s1"))
        fleet.log.queue.clear()
        replica = fleet.replicas[SearcherId("s1")]
        task = fleet.connections.open(replica)
        fleet.record_violation(task, SkippedResponse("q1", "q2"))
        line = json.loads(fleet.log.queue[-1])
        assert line["event"] == "answer_skipped"
        assert (line["searcher"], line["connection"]) == ("s1", 1)
        assert (line["answered"], line["request"]) == ("q1", "q2")
        fleet.record_violation(task, UnrequestedBytes(5))
        assert json.loads(fleet.log.queue[-1])["bytes"] == 5
        fleet.record_violation(task, TrailingBytes("q2"))
        assert json.loads(fleet.log.queue[-1])["request"] == "q2"
        assert b"masticgate_answer_skipped_total 1" in fleet.metrics.render()


class TestRequestLogLine:
    def test_detail_of_merged_reply_describes_irregular_answers(self):
        irregular = ReceiveInfo(ConnectionNumber(3), BodyFraming.CLOSE, 0)
        answer = Answered(SearcherId("s1"), 200, (), b"", "s", Millis(1.0), irregular)
        merged = Merged(("s",), 0, b"", (), (f"{answer.searcher}: {answer.receive_info}",))
        assert _describe_reply(merged) == (
            "whole",
            "s1: connection 3, ended by close, 0 skipped",
        )


class TestFailingTask:
    # Guards against a call without an outcome, and a connection that counts as in use for ever, if
    # the task ends with an exception. Here the missing parser causes it.
    def test_error_ends_call_and_connection(self):
        near, far = connect_pair()
        handler = RecordingHandler()
        call = Call(
            make_request("q"), make_route(), ServiceId("orders"), Millis(400.0), UnreadInbox()
        )
        task = SearcherTask(
            SearcherId("s1"), Address("127.0.0.1:9"), handler, HEADER_NAMES, ManualClock(), call
        )
        task.client.socket = near
        task.parser = None
        far.sendall(RESPONSE % b"q")
        with pytest.raises(AttributeError):
            task.run()
        assert isinstance(handler.outcomes[0], Lost)
        assert task.client.socket is None
        far.close()
