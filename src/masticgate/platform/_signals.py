"""Signals as a queue that one task reads."""

import os
import select
import signal
from collections.abc import Sequence
from typing import Any


class SignalQueue:
    """Queues the given signals; to be created and read by the main thread.

    The interpreter writes the number of each signal to a pipe as soon as it arrives. A queue that a
    signal handler fills would notice a signal late if it arrives while another one is handled.
    """

    def __init__(self, numbers: Sequence[signal.Signals]) -> None:
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in numbers:
            signal.signal(number, _ignore)

    def get(self, timeout_s: float) -> list[int]:
        """Return the signals that arrived, in order; wait at most ``timeout_s`` for the first."""
        poller = select.poll()
        poller.register(self.reader, select.POLLIN)
        return list(os.read(self.reader, 64)) if poller.poll(timeout_s * 1_000) else []


def _ignore(number: int, frame: Any) -> None:
    """Do nothing; the number of the signal is in the pipe."""
