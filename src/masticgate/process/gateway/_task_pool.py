"""A bounded number of threads for the tasks of connections, one thread for each task."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from threading import Lock, Thread
from typing import Any

from ...connection.gateway import TaskRefused
from ._log import EventLog
from ._metrics import Metrics
from ._supervisor import record_task_failure


class TaskState(Enum):
    """Whether a task has begun in its thread, or was refused before it could."""

    STARTING = "starting"
    RUNNING = "running"
    REFUSED = "refused"


@dataclass(slots=True)
class Task:
    """A function with its arguments, and its state, which the lock of the pool guards."""

    run: Callable[..., None]
    arguments: tuple[Any, ...]
    state: TaskState = TaskState.STARTING


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
        task = Task(run, args)
        try:
            Thread(target=self._run, args=(task,), daemon=True).start()
        except (RuntimeError, MemoryError) as error:
            # The error may come after the thread has begun.
            if self._claim(task, TaskState.REFUSED):
                with self.lock:
                    self.running -= 1
                return TaskRefused(str(error) or type(error).__name__)
        return None

    def close(self) -> None:
        """Refuse all further tasks; the present ones run to completion."""
        with self.lock:
            self.max_tasks = 0

    def _claim(self, task: Task, state: TaskState) -> bool:
        """Put a task that is starting into ``state``; return ``False`` if it has another one."""
        with self.lock:
            if task.state is not TaskState.STARTING:
                return False
            task.state = state
            return True

    def _run(self, task: Task) -> None:
        if not self._claim(task, TaskState.RUNNING):
            return
        try:
            task.run(*task.arguments)
        except Exception as error:
            record_task_failure(self.log, self.metrics, task.run, error)
        finally:
            with self.lock:
                self.running -= 1
