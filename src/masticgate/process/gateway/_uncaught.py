"""Log lines for errors that no task handles."""

import sys
import threading
from types import TracebackType

from ..._ids import Millis
from ..._traces import name_frames
from ._log import EventLog, LogEvent
from ._metrics import Metrics

FLUSH_TIMEOUT = Millis(500.0)
"""How long the end of the process is delayed for its last log lines."""


class UncaughtErrors:
    """Counts and logs errors that reach the interpreter."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        self.log = log
        self.metrics = metrics

    def install(self) -> None:
        """Receive the interpreter's uncaught errors from now on."""
        sys.excepthook = self._record_process_failure
        threading.excepthook = self._record_thread_failure
        sys.unraisablehook = self._record_ignored_error

    def _record_process_failure(
        self, kind: type[BaseException], error: BaseException, trace: TracebackType | None
    ) -> None:
        """Log the error that ends the main thread, and the process with it."""
        self.metrics.count("errors_uncaught")
        self.log.write(LogEvent.PROCESS_FAILED, detail=repr(error), at=name_frames(trace))
        self.log.flush(FLUSH_TIMEOUT)

    def _record_thread_failure(self, failure: threading.ExceptHookArgs) -> None:
        self.metrics.count("errors_uncaught")
        self.log.write(
            LogEvent.THREAD_FAILED,
            thread=failure.thread.name if failure.thread is not None else "",
            detail=repr(failure.exc_value),
            at=name_frames(failure.exc_traceback),
        )
        self.log.wake()

    def _record_ignored_error(self, failure: "sys.UnraisableHookArgs") -> None:
        """Log an error that the interpreter ignores, for example one of a finalizer."""
        self.metrics.count("errors_uncaught")
        self.log.write(
            LogEvent.ERROR_IGNORED,
            detail=repr(failure.exc_value),
            source=repr(failure.object),
            at=name_frames(failure.exc_traceback),
        )
        self.log.wake()
