"""Signals as a queue that one task reads.

The program imports this module before all others, so that it loads little itself.
"""

import os
import select
import signal
import time

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
QUEUED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
IGNORED_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGPWR,
    signal.SIGPIPE,
    signal.SIGXFSZ,
)
"""Signals that ask for no end, but end a process that does not handle them."""

PIPE_BYTES = 65_536
"""The most signals that are read from the pipe at a time, which is all that it holds."""

RELOAD_PAUSE_S = 0.05
"""The pause after a signal to reload, in which further ones are taken together."""


class SignalQueue:
    """Queues the signals to stop and to reload; to be created and read by the main thread.

    The interpreter writes the number of each signal to a pipe as soon as it arrives. A queue that a
    signal handler fills would notice a signal late if it arrives while another one is handled. If
    the pipe is full, the handler of a signal to stop still notices it.
    """

    def __init__(self) -> None:
        self.reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self.poller = select.poll()
        self.poller.register(self.reader, select.POLLIN)
        self.stop_requested = False
        self.reload_requested = False
        for number in QUEUED_SIGNALS:
            signal.signal(number, self._handle)
        for number in IGNORED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        # The process that starts this one may block signals, and the mask is inherited.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, QUEUED_SIGNALS)

    def wait_for_stop(self, timeout_s: float) -> bool:
        """Wait for the next signal; return whether a signal to stop has arrived so far.

        Return after ``timeout_s`` if no signal arrives.
        """
        if self.reload_requested:
            self.reload_requested = False
            time.sleep(RELOAD_PAUSE_S)
        if not self.stop_requested and self.poller.poll(timeout_s * 1_000):
            numbers = set(os.read(self.reader, PIPE_BYTES))
            self.reload_requested = signal.SIGHUP in numbers
            self.stop_requested |= not numbers.isdisjoint(STOP_SIGNALS)
        return self.stop_requested

    def _handle(self, number: int, frame: object) -> None:
        if number in STOP_SIGNALS:
            self.stop_requested = True
