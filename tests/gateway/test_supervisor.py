"""Tests for the tasks that last as long as the process."""

from threading import Event, Thread

from masticgate import ManualClock
from masticgate._ids import HostId
from masticgate.process.gateway import _supervisor
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._supervisor import Supervisor


class TestStart:
    def test_waits_for_thread_if_none_can_be_started(self, monkeypatch):
        """Guard against a process that ends because it may not start a thread at once (FAULT)."""
        failures = [RuntimeError("can't start new thread")] * 2

        class ScarceThread(Thread):
            def start(self):
                if failures:
                    raise failures.pop()
                super().start()

        monkeypatch.setattr(_supervisor, "Thread", ScarceThread)
        monkeypatch.setattr(_supervisor, "RESTART_DELAY", 1.0)
        started = Event()
        log = EventLog(HostId("g"), ManualClock())
        Supervisor(log, Metrics(), Event()).start(started.set)
        assert started.wait(5)
        assert len([line for line in log.queue if "task_refused" in line]) == 2
