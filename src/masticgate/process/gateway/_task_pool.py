"""A bounded pool of threads for the tasks of connections, one thread for each task."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from enum import Enum
from threading import Lock
from typing import Any

from ...connection.gateway import TaskRefused
from ._log import EventLog
from ._metrics import Metrics
from ._supervisor import record_task_failure


class TaskState(Enum):
    """The state of a task between its submission and its end."""

    QUEUED = "queued"
    BEGUN = "begun"
    REFUSED = "refused"


class Task:
    """One submitted task; it either begins or is refused, and never both."""

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
        """Prevent the task from running; return ``False`` if it has already begun."""
        with self.lock:
            if self.state is TaskState.BEGUN:
                return False
            self.state = TaskState.REFUSED
            return True


class TaskPool:
    """Starts each task at once or refuses it for good.

    If ``ThreadPoolExecutor.submit`` cannot start a thread, it raises, but keeps the task in its
    queue. After a thread has taken that task, the executor counts one idle thread too many, and may
    queue a task instead of starting it. Such an executor is therefore left to finish its present
    tasks, and new tasks go to a new executor.
    """

    def __init__(self, max_tasks: int, log: EventLog, metrics: Metrics) -> None:
        self.max_tasks = max_tasks
        self.log = log
        self.metrics = metrics
        self.lock = Lock()
        self.running = 0
        self.executor = self._make_executor()

    def start(self, run: Callable[..., None], *args: Any) -> TaskRefused | None:
        """Start ``run`` with ``args`` at once, or return why it is refused for good."""
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
        """Refuse all further tasks; the present ones run to completion."""
        with self.lock:
            self.max_tasks = 0
            self.executor.shutdown(wait=False)

    def _run(self, run: Callable[..., None], args: tuple[Any, ...]) -> None:
        try:
            run(*args)
        except Exception as error:
            record_task_failure(self.log, self.metrics, run, error)
        finally:
            with self.lock:
                self.running -= 1

    def _make_executor(self) -> ThreadPoolExecutor:
        """Return an executor with at most two threads for each of ``max_tasks`` tasks.

        A task that has ended may still occupy its thread when the next one is started.
        """
        return ThreadPoolExecutor(2 * self.max_tasks)
