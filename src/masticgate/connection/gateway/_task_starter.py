"""Starts the tasks of connections."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class TaskRefused:
    """A task could not be started now and never will run."""

    detail: str


class TaskStarter(Protocol):
    """Runs each task in a thread of its own."""

    def start(self, run: Callable[..., None], *args: Any) -> TaskRefused | None:
        """Start a task at once, or refuse it for good."""
        ...
