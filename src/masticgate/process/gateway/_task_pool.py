"""Runs the tasks of connections, each in a thread of its own."""

import traceback
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from os.path import basename
from threading import Lock
from typing import Any

from ...connection.gateway import TaskRefused
from ._log import EventLog, LogEvent
from ._metrics import Metrics


class TaskState(Enum):
    """How far a task has come."""

    QUEUED = "queued"
    BEGUN = "begun"
    REFUSED = "refused"


class Task:
    """One task; it begins or is refused, never both."""

    def __init__(self, call: Callable[[], None]) -> None:
        self.call = call
        self.lock = Lock()
        self.state = TaskState.QUEUED

    def run(self) -> None:
        """Run the task, unless it was refused."""
        with self.lock:
            if self.state is TaskState.REFUSED:
                return
            self.state = TaskState.BEGUN
        self.call()

    def refuse(self) -> bool:
        """Keep the task from running; return ``False`` where it has begun."""
        with self.lock:
            if self.state is TaskState.BEGUN:
                return False
            self.state = TaskState.REFUSED
            return True


class TaskPool:
    """Starts each task at once or refuses it for good.

    ``ThreadPoolExecutor.submit`` keeps a task in its queue though it raises, and takes one of its
    busy threads for an idle one from then on. So threads that could not be joined by another are
    given up to their present tasks, and new tasks go to other threads.
    """

    def __init__(self, max_tasks: int, log: EventLog, metrics: Metrics) -> None:
        self.max_tasks = max_tasks
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.running = 0
        self.executor = self._make_executor()

    def start(self, run: Callable[..., None], *args: Any) -> TaskRefused | None:
        """Start a task at once, or refuse it for good."""
        task = Task(lambda: self._run(run, args))
        with self.lock:
            if self.running >= self.max_tasks:
                return TaskRefused("all tasks are in use")
            self.running += 1
            try:
                self.executor.submit(task.run)
            except RuntimeError as error:
                self.executor.shutdown(wait=False)
                self.executor = self._make_executor()
                if task.refuse():
                    self.running -= 1
                    return TaskRefused(str(error))
        return None

    def close(self) -> None:
        """Refuse tasks from now on; the present ones run to their ends."""
        with self.lock:
            self.max_tasks = 0
            self.executor.shutdown(wait=False)

    def _run(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            run(*args)
        except Exception as error:
            self._record_failure(run, error)
        finally:
            with self.lock:
                self.running -= 1

    def _record_failure(self, run: Callable[..., None], error: Exception) -> None:
        """Log an error that would stay in a future that nobody asks."""
        self.metrics.count("tasks_failed")
        frame = traceback.extract_tb(error.__traceback__)[-1]
        self.log.write(
            LogEvent.TASK_FAILED,
            task=run.__qualname__,
            detail=repr(error),
            at=f"{basename(frame.filename)}:{frame.lineno}",
        )

    def _make_executor(self) -> ThreadPoolExecutor:
        """Return threads enough for all tasks beside those that just ended theirs."""
        return ThreadPoolExecutor(2 * self.max_tasks)
