"""Signals as a queue that one task reads.

The program imports this module before all others, so that it loads little itself.
"""

import os
import select
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
QUEUED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


class SignalQueue:
    """Queues the signals to stop and to reload; to be created and read by the main thread.

    The interpreter writes the number of each signal to a pipe as soon as it arrives. A queue that a
    signal handler fills would notice a signal late if it arrives while another one is handled.
    """

    def __init__(self) -> None:
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self.poller = select.poll()
        self.poller.register(self.reader, select.POLLIN)
        self.stop_requested = False
        for number in QUEUED_SIGNALS:
            signal.signal(number, _ignore)
        # The process that starts this one may block signals, and the mask is inherited.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, QUEUED_SIGNALS)

    def wait_for_stop(self, timeout_s: float) -> bool:
        """Wait for the next signal; return whether a signal to stop has arrived so far.

        Return after ``timeout_s`` if no signal arrives.
        """
        if self.stop_requested:
            return True
        if self.poller.poll(timeout_s * 1_000):
            self.stop_requested = not set(os.read(self.reader, 64)).isdisjoint(STOP_SIGNALS)
        return self.stop_requested


def _ignore(number: int, frame: object) -> None:
    """Do nothing; the number of the signal is in the pipe."""
