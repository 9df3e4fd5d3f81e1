"""Tasks that cannot be started, which are refused and never run later."""

import json
import os
from dataclasses import replace
from threading import Event, Thread

import pytest

from masticgate import Address, HostId, Millis, NotRun, ServiceId, SystemClock
from masticgate.connection.gateway import CallerSettings, Listener, TaskRefused
from masticgate.process.gateway._fleet import Fleet
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._task_pool import Task
from masticgate.request.gateway import Call, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_entry, make_pool, make_request, make_route, make_settings
from .loopback import StandInSearcher, reply_to
from .test_buffers import UnreadInbox, connect_pair


class PoolWithBusyTask:
    """A task pool with one busy task, in a process that can be kept from starting threads."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.tasks = make_pool(8)
        self.executor = self.tasks.executor
        self.release = Event()
        self.monkeypatch = monkeypatch
        self.tasks.start(self._occupy)

    def _occupy(self) -> None:
        self.release.wait(10)

    def refuse_threads(self) -> None:
        def start(thread):
            raise RuntimeError("can't start new thread")

        self.monkeypatch.setattr(Thread, "start", start)

    def end_task(self) -> None:
        """Allow threads again, end the busy task and give its thread time to run queued tasks."""
        self.monkeypatch.undo()
        self.release.set()
        shutdown_task = Thread(target=self.executor.shutdown, daemon=True)
        shutdown_task.start()
        shutdown_task.join(2)


@pytest.fixture
def pool(monkeypatch):
    return PoolWithBusyTask(monkeypatch)


def serve_page(request, inbox):
    return LocalPage(200, b"served")


class TestRefusedCaller:
    # Guards against descriptors of a refused connection that are closed a second time, when their
    # numbers belong to other files.
    def test_does_not_close_reused_descriptors(self, pool):
        clock = SystemClock()
        settings = CallerSettings(serve_page, HEADER_NAMES, clock, Limits, lambda: False)
        listener = Listener(Address("127.0.0.1:0"), settings, pool.tasks, 4)
        near, far = connect_pair()
        highest_descriptor = near.fileno() + 16
        pool.refuse_threads()
        listener._add_connection(near)
        far.settimeout(5)
        assert far.recv(1) == b""
        opened: list[int] = []
        while not opened or max(opened) < highest_descriptor:
            opened.extend(os.pipe())
        pool.end_task()
        closed = [descriptor for descriptor in opened if not is_open(descriptor)]
        for descriptor in opened:
            if descriptor not in closed:
                os.close(descriptor)
        listener.stop()
        assert closed == []


def is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True


class TestRefusedCall:
    # Guards against a request that is sent after it was refused as not run.
    def test_never_sends_refused_request(self, pool):
        searcher = StandInSearcher(reply_to)
        searcher.closes_after_answer = True
        clock = SystemClock()
        log = EventLog(HostId("g1"), clock)
        fleet = Fleet(make_settings(), HEADER_NAMES, clock, pool.tasks, log, Metrics())
        fleet.apply_listing(replace(make_entry("s1"), address=searcher.address))
        deadline = Millis(clock.now() + 5_000.0)
        call = Call(make_request(), make_route(), ServiceId("orders"), deadline, UnreadInbox())
        pool.refuse_threads()
        assert isinstance(fleet.send(call, set()), NotRun)
        pool.end_task()
        searcher.listener.close()
        assert searcher.requests == []


class TestLaterTasks:
    # Guards against a connection that is accepted but never read, after others were refused.
    def test_start_at_once_after_earlier_ones_were_refused(self, pool):
        clock = SystemClock()
        settings = CallerSettings(serve_page, HEADER_NAMES, clock, Limits, lambda: False)
        listener = Listener(Address("127.0.0.1:0"), settings, pool.tasks, 16)
        refused = [connect_pair() for _ in range(2)]
        pool.refuse_threads()
        for near, _ in refused:
            listener._add_connection(near)
        pool.monkeypatch.undo()
        pool.release.set()
        callers = []
        for _ in range(4):
            near, far = connect_pair()
            listener._add_connection(near)
            far.settimeout(2)
            far.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nx-id: q\r\n\r\n")
            callers.append(far)
            assert far.recv(65_536).endswith(b"served")
        for far in callers:
            far.close()
        listener.stop()


class TestTaskPool:
    # Guards against a task that is reported as refused although a free thread already runs it.
    def test_cannot_refuse_task_that_has_begun(self):
        ran = []
        task = Task(lambda: ran.append(1))
        task.run()
        assert not task.refuse()
        assert ran == [1]

    def test_does_not_run_refused_task(self):
        ran = []
        task = Task(lambda: ran.append(1))
        assert task.refuse()
        task.run()
        assert ran == []

    def test_refuses_tasks_over_limit(self):
        tasks = make_pool(1)
        release = Event()
        assert tasks.start(release.wait) is None
        assert tasks.start(release.wait) == TaskRefused("all tasks are in use")
        release.set()
        tasks.close()

    # Guards against a task that ends with an error that is not reported.
    def test_logs_and_counts_failed_task(self):
        tasks = make_pool(1)
        tasks.start(int, "no number")
        tasks.executor.shutdown()
        line = json.loads(tasks.log.queue[-1])
        assert (line["event"], line["task"]) == ("task_failed", "int")
        assert "no number" in line["detail"]
        assert tasks.metrics.counters["tasks_failed"] == 1
        assert tasks.running == 0
