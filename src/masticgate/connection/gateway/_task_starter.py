"""The interface by which a gateway starts the tasks of its connections."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol


@dataclass(frozen=True, slots=True)
class TaskRefused:
    """A task could not be started and will not run later either; ``detail`` says why."""

    detail: str


class TaskStarter(Protocol):
    """Starts tasks, each in a thread of its own."""

    def start(self, run: Callable[..., None], *args: Any) -> TaskRefused | None:
        """Start ``run`` with ``args`` at once, or return why it will never run."""
        ...
