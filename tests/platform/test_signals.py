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


class TestSignalQueue:
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
