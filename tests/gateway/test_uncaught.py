"""Errors that the interpreter reports while a task is within the gateway's own counters or log."""

import sys
import threading

import pytest

from masticgate import HostId, SystemClock
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._uncaught import UncaughtErrors

TIMEOUT_S = 5.0


class FailingFinalizer:
    """An object whose finalizer raises an error, as the collector may run it at any moment."""

    def __del__(self) -> None:
        raise ZeroDivisionError


@pytest.fixture
def errors(monkeypatch):
    for module, name in (
        (sys, "excepthook"),
        (sys, "unraisablehook"),
        (threading, "excepthook"),
    ):
        monkeypatch.setattr(module, name, getattr(module, name))
    errors = UncaughtErrors(EventLog(HostId("g1"), SystemClock()), Metrics())
    errors.install()
    return errors


class TestUncaughtErrors:
    # Guards against a task that waits for a lock that it holds itself, and all others with it.
    @pytest.mark.parametrize("name", ["metrics", "log"])
    def test_finalizer_fails_while_its_task_holds_lock(self, errors, name):
        lock = errors.metrics.lock if name == "metrics" else errors.log.ready

        def finalize() -> None:
            with lock:
                FailingFinalizer()

        task = threading.Thread(target=finalize, daemon=True)
        task.start()
        task.join(TIMEOUT_S)
        assert not task.is_alive()
        assert errors.metrics.counters["errors_uncaught"] == 1
        assert "error_ignored" in errors.log.queue[-1]
