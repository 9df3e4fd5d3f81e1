"""Runs the tasks that last as long as the process, and restarts one that ends by an error."""

from collections.abc import Callable
from threading import Event, Thread

from ..._clock import MILLIS_PER_SECOND
from ..._ids import Millis
from ..._traces import name_frames
from ._log import EventLog, LogEvent
from ._metrics import Metrics

RESTART_DELAY = Millis(500.0)
"""The pause before a task that ended by an error is started again."""


class Supervisor:
    """Starts each task in a thread of its own; ``ended`` stops the restarts.

    ``wait_for_stop`` waits for a number of seconds at most, and returns whether the process is told
    to stop; the thread that starts tasks calls it.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        ended: Event,
        wait_for_stop: Callable[[float], bool] | None = None,
    ) -> None:
        self.log = log
        self.metrics = metrics
        self.ended = ended
        self.wait_for_stop = wait_for_stop or ended.wait

    def start(self, run: Callable[[], None]) -> None:
        """Start ``run`` in a new thread.

        If none can be started, wait until one can, or until the process is told to stop.
        """
        while True:
            try:
                Thread(target=self.run, args=(run,), daemon=True).start()
                return
            except (RuntimeError, MemoryError) as error:
                self.log.write(LogEvent.TASK_REFUSED, task=describe_task(run), detail=str(error))
            if self.wait_for_stop(RESTART_DELAY / MILLIS_PER_SECOND):
                return

    def run(self, run: Callable[[], None]) -> None:
        """Call ``run`` in this thread until it returns normally."""
        while not self.ended.is_set():
            try:
                run()
                return
            except Exception as error:
                record_task_failure(self.log, self.metrics, run, error)
            self.ended.wait(RESTART_DELAY / MILLIS_PER_SECOND)


def describe_task(run: Callable[..., None]) -> str:
    """Return the name of the function that a task runs."""
    return str(getattr(getattr(run, "func", run), "__qualname__", repr(run)))


def record_task_failure(
    log: EventLog, metrics: Metrics, run: Callable[..., None], error: Exception
) -> None:
    """Count and log an error that ended the task ``run``, with the innermost frames."""
    metrics.count("tasks_failed")
    log.write(
        LogEvent.TASK_FAILED,
        task=describe_task(run),
        detail=repr(error),
        at=name_frames(error.__traceback__),
    )
