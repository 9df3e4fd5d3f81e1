"""Tests for the signals of a gateway process, sent to a process of its own."""

import os
import signal
import subprocess
import sys
from time import monotonic

CHILD = """
from masticgate.platform._signals import SignalQueue
queue = SignalQueue()
print("ready", flush=True)
while not queue.wait_for_stop(5.0):
    pass
"""
MAX_NOTICE_S = 1.0


BUSY_CHILD = """
import signal, time
from masticgate.platform._signals import SignalQueue
queue = SignalQueue()
print("ready", flush=True)
time.sleep(3.0)
reads = 0
while not queue.wait_for_stop(1.0):
    reads += 1
print(reads, flush=True)
"""
"""Reads its signals only after 3 s, as a process does whose main thread is held up."""


def stop_after_storm(code: str, storm_s: float, end_timeout_s: float) -> int:
    """Send SIGHUP without a pause and then SIGTERM; return how often the child noticed a reload.

    The child has to end with success within ``end_timeout_s``.
    """
    child = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
    try:
        assert child.stdout.readline() == b"ready\n"
        end_of_storm = monotonic() + storm_s
        while monotonic() < end_of_storm:
            os.kill(child.pid, signal.SIGHUP)
        os.kill(child.pid, signal.SIGTERM)
        assert child.wait(end_timeout_s) == 0
        return int(child.stdout.read())
    finally:
        child.kill()
        child.stdout.close()


class TestSignalQueue:
    def test_notices_stop_behind_more_reloads_than_the_pipe_holds(self):
        """Guard against a SIGTERM that is lost in a storm of SIGHUP, and so ends in a kill."""
        assert stop_after_storm(BUSY_CHILD, storm_s=2.5, end_timeout_s=6.0) < 20

    def test_takes_reloads_in_quick_succession_together(self):
        """Guard against a storm of SIGHUP that keeps the processor busy with reloads."""
        child = BUSY_CHILD.replace("3.0", "0.0")
        assert stop_after_storm(child, storm_s=2.0, end_timeout_s=4.0) <= 42

    def test_notices_stop_at_once_right_after_reload(self):
        """Guard against a SIGTERM that is noticed only 5 s after a SIGHUP, past the grace time."""
        for _ in range(20):
            child = subprocess.Popen([sys.executable, "-c", CHILD], stdout=subprocess.PIPE)
            assert child.stdout.readline() == b"ready\n"
            os.kill(child.pid, signal.SIGHUP)
            os.kill(child.pid, signal.SIGTERM)
            sent_at = monotonic()
            try:
                assert child.wait(4.0) == 0
            finally:
                child.kill()
                child.stdout.close()
            assert monotonic() - sent_at < MAX_NOTICE_S
