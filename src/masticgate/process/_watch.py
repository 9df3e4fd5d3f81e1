"""The tasks that read the platform: a watch on each key, and a poll of the host list.

They read only on hosts with the watch role: :data:`WATCHERS_PER_DOMAIN` in each failure domain,
and hosts that replace these while they are unreachable. While the hosts can reach one another,
:func:`most_reads` gives the bound on the platform's load.
"""

from collections.abc import Callable
from math import ceil

from .._clock import MILLIS_PER_SECOND, Clock
from .._failures import Unknown
from .._ids import Millis, Revision
from ..connection import ListedHost, PlatformReader, Unchanged, Value
from ..version import WATCHERS_PER_DOMAIN
from ._backoff import MAX_RETRY_DELAY, MIN_JITTER, Backoff
from ._timeline import EventKind, Timeline
from ._watch_role import WatchRole

WATCH_TIMEOUT = Millis(20_000.0)
"""How long the platform may hold a read of a watched key before it answers without a new value."""

HOST_LIST_INTERVAL = Millis(2000.0)
"""The time between two reads of the host list."""

MIN_READ_INTERVAL = Millis(200.0)
"""The delay after each new value, which bounds the rate of reads when values change quickly."""

WATCHED_KEYS = 2
"""The number of watched keys: those of the configuration text and of the snapshot catalogue."""

READS_PER_START = WATCHED_KEYS + 1
"""The number of reads by a starting host, which reads each key and the host list once."""


def most_reads(domains: int, duration: Millis, changes: int, starts: int) -> int:
    """Return the most reads of the platform within ``duration``, however many hosts there are.

    Each of the ``WATCHERS_PER_DOMAIN`` watchers of a failure domain reads the host list once in
    ``HOST_LIST_INTERVAL`` and each key once in ``WATCH_TIMEOUT``, and reads once more after each
    of ``changes`` new values. Since ``duration`` may begin just before a read, one further read
    of the list and of each key is counted. ``starts`` is the number of hosts that start; each of
    them reads the list and each key once.

    In a long outage of the platform, a watcher retries each of its three reads after half to all
    of ``MAX_RETRY_DELAY``, so after 5 s at the earliest. If every host is also cut off from all
    others, every host becomes a watcher; the rate is then at most 3 reads in 5 s for each host:
    1,980 reads a second for 3,300 hosts.
    """
    watchers = domains * WATCHERS_PER_DOMAIN
    list_reads = ceil(duration / HOST_LIST_INTERVAL) + 1
    key_reads = WATCHED_KEYS * (ceil(duration / WATCH_TIMEOUT) + 1)
    return watchers * (list_reads + key_reads + changes) + starts * READS_PER_START


def most_outage_reads_per_second(watchers: int) -> float:
    """Return the most reads per second by ``watchers`` hosts while the platform stays down."""
    return watchers * READS_PER_START * MILLIS_PER_SECOND / (MIN_JITTER * MAX_RETRY_DELAY)


class KeyWatch:
    """Watches one key of the platform's configuration service; calls ``on_value`` with new values.

    ``lost`` is set while the key cannot be read.
    """

    def __init__(
        self,
        key: str,
        reader: PlatformReader,
        timeline: Timeline,
        on_value: Callable[[Value], None],
        role: WatchRole,
        clock: Clock,
    ) -> None:
        self.key = key
        self.reader = reader
        self.timeline = timeline
        self.on_value = on_value
        self.role = role
        self.clock = clock
        self.revision = Revision(0)
        self.backoff = Backoff()
        self.lost = False

    def run(self) -> None:
        """Watch the key while this host is a watcher, until the process stops."""
        while self.role.wait_until_watching(self.reader.allow_requests):
            self.role.wait(self.read_once())
        self.reader.close()

    def read_once(self) -> Millis:
        """Wait for a newer value and return the delay before the next read.

        A platform that answers at once without a newer value, such as a stale replica, is read no
        more often than one that is down.
        """
        started = self.clock.now()
        result = self.reader.watch(self.key, self.revision, WATCH_TIMEOUT)
        if isinstance(result, Unknown) and not self.role.watching:
            # Reads are aborted when this host stops being a watcher.
            return Millis(0.0)
        self._record_lost(isinstance(result, Unknown))
        match result:
            case Value(revision=revision) if revision > self.revision:
                self.revision = revision
                self.on_value(result)
                self.backoff.reset()
                return MIN_READ_INTERVAL
            case Unchanged() if self.clock.now() - started >= WATCH_TIMEOUT / 2:
                self.backoff.reset()
                return Millis(0.0)
            case _:
                return self.backoff.next_delay()

    def _record_lost(self, lost: bool) -> None:
        if lost != self.lost and not self.role.stopped:
            kind = EventKind.PLATFORM_LOST if lost else EventKind.PLATFORM_BACK
            self.timeline.add(kind, self.key)
        self.lost = lost


class HostListWatch:
    """Reads the platform's host list at a fixed interval, and calls ``on_hosts`` with it."""

    def __init__(
        self,
        reader: PlatformReader,
        on_hosts: Callable[[tuple[ListedHost, ...]], None],
        role: WatchRole,
    ) -> None:
        self.reader = reader
        self.on_hosts = on_hosts
        self.role = role
        self.backoff = Backoff()

    def run(self) -> None:
        """Read the list while this host is a watcher, until the process stops.

        A failed read leaves the known hosts as they are.
        """
        while self.role.wait_until_watching(self.reader.allow_requests):
            self.role.wait(self.read_once())
        self.reader.close()

    def read_once(self) -> Millis:
        """Read the list once and return the delay before the next read."""
        hosts = self.reader.list_hosts()
        if isinstance(hosts, Unknown):
            return max(HOST_LIST_INTERVAL, self.backoff.next_delay())
        self.backoff.reset()
        self.on_hosts(hosts)
        return HOST_LIST_INTERVAL
