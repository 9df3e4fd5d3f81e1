"""The tasks that read the platform: a watch on each key, and the host list."""

from collections.abc import Callable
from threading import Event

from .._clock import MILLIS_PER_SECOND
from .._failures import Unknown
from .._ids import HostId, Incarnation, Millis, Revision
from ..connection import ListedHost, PlatformReader, Unchanged, Value
from ._messages import Member, MemberState
from ._timeline import EventKind, TimeLine

WATCH_WAIT = Millis(20_000.0)
RETRY_WAIT = Millis(1000.0)
HOST_LIST_INTERVAL = Millis(2000.0)


class KeyWatch:
    """Watches one key of the configuration service and passes on each new value."""

    def __init__(
        self,
        key: str,
        reader: PlatformReader,
        timeline: TimeLine,
        on_value: Callable[[Value], None],
        stopping: Event,
    ) -> None:
        self.key = key
        self.reader = reader
        self.timeline = timeline
        self.on_value = on_value
        self.stopping = stopping

    def run(self) -> None:
        """Watch until the process stops; an outage is retried at a steady pace."""
        revision = Revision(0)
        lost = False
        while not self.stopping.is_set():
            result = self.reader.watch(self.key, revision, WATCH_WAIT)
            match result:
                case Value(revision=revision):
                    self.on_value(result)
                case Unchanged():
                    pass
                case Unknown():
                    self.stopping.wait(RETRY_WAIT / MILLIS_PER_SECOND)
            lost = self._note(lost, isinstance(result, Unknown))
        self.reader.close()

    def _note(self, before: bool, now: bool) -> bool:
        if now and not before and not self.stopping.is_set():
            self.timeline.add(EventKind.PLATFORM_LOST, self.key)
        if before and not now:
            self.timeline.add(EventKind.PLATFORM_BACK, self.key)
        return now


class HostListWatch:
    """Reads the host list at a steady pace and passes it on."""

    def __init__(
        self,
        reader: PlatformReader,
        on_hosts: Callable[[tuple[ListedHost, ...]], None],
        stopping: Event,
    ) -> None:
        self.reader = reader
        self.on_hosts = on_hosts
        self.stopping = stopping

    def run(self) -> None:
        """Read until the process stops; a failed read changes nothing."""
        while not self.stopping.is_set():
            hosts = self.reader.list_hosts()
            if not isinstance(hosts, Unknown):
                self.on_hosts(hosts)
            self.stopping.wait(HOST_LIST_INTERVAL / MILLIS_PER_SECOND)
        self.reader.close()


def listed_members(hosts: tuple[ListedHost, ...]) -> list[Member]:
    """Return the beliefs that a host list gives rise to; its incarnations are unknown."""
    return [
        Member(HostId(h.host), h.address, h.failure_domain, Incarnation(0), MemberState.ALIVE)
        for h in hosts
        if not h.leaving
    ]
