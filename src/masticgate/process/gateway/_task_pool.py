"""A bounded number of threads for the tasks of connections, one thread for each task."""

from collections.abc import Callable
from threading import Lock, Thread
from typing import Any

from ...connection.gateway import TaskRefused
from ._log import EventLog
from ._metrics import Metrics
from ._supervisor import record_task_failure


class TaskPool:
    """Starts each task at once or refuses it for good.

    A thread ends with its task, so that a burst of connections leaves no threads behind, and a task
    whose thread cannot be started has no queue from which it could run later.
    """

    def __init__(self, max_tasks: int, log: EventLog, metrics: Metrics) -> None:
        self.max_tasks = max_tasks
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.running = 0

    def start(self, run: Callable[..., None], *args: Any) -> TaskRefused | None:
        """Start ``run`` with ``args`` at once, or return why it is refused for good."""
        with self.lock:
            if self.running >= self.max_tasks:
                return TaskRefused("all tasks are in use")
            self.running += 1
        try:
            Thread(target=self._run, args=(run, args), daemon=True).start()
        except (RuntimeError, MemoryError) as error:
            with self.lock:
                self.running -= 1
            return TaskRefused(str(error) or type(error).__name__)
        return None

    def close(self) -> None:
        """Refuse all further tasks; the present ones run to completion."""
        with self.lock:
            self.max_tasks = 0

    def _run(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            run(*args)
        except Exception as error:
            record_task_failure(self.log, self.metrics, run, error)
        finally:
            with self.lock:
                self.running -= 1
