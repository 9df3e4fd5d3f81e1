"""The role of a host as a watcher: one of the few of its failure domain that read the platform."""

from collections.abc import Callable
from threading import Condition

from .._clock import MILLIS_PER_SECOND
from .._ids import Millis
from ._timeline import EventKind, Timeline

ROLE_CHECK_INTERVAL = Millis(60_000.0)
"""A task that waits for the role checks it this often, and at once when it changes."""


class WatchRole:
    """States whether this host is a watcher; the tasks that read the platform wait until it is."""

    def __init__(self, timeline: Timeline) -> None:
        self.timeline = timeline
        self.condition = Condition()
        self.watching = False
        self.stopped = False

    def update(self, watching: bool) -> bool:
        """Set whether this host is a watcher; return whether that is a change."""
        with self.condition:
            if watching == self.watching or self.stopped:
                return False
            self.watching = watching
            self.condition.notify_all()
        detail = "watches the platform" if watching else "gets versions from peers"
        self.timeline.add(EventKind.WATCH_CHANGED, self.timeline.host, detail)
        return True

    def wait_until_watching(self, allow: Callable[[], None]) -> bool:
        """Wait until this host is a watcher, then call ``allow``; return ``False`` after a stop.

        A reader is aborted after this host stops being a watcher, and reads nothing until
        ``allow`` is called. Both the check of the role and the call hold the lock under which the
        role changes, so ``allow`` cannot undo the abort that follows a change.
        """
        with self.condition:
            while not self.watching and not self.stopped:
                self.condition.wait(ROLE_CHECK_INTERVAL / MILLIS_PER_SECOND)
            if not self.stopped:
                allow()
            return not self.stopped

    def wait(self, duration: Millis) -> None:
        """Wait for ``duration``, or until the process stops."""
        with self.condition:
            self.condition.wait_for(lambda: self.stopped, duration / MILLIS_PER_SECOND)

    def stop(self) -> None:
        """Let every waiting task return."""
        with self.condition:
            self.stopped = True
            self.condition.notify_all()
