"""The timeline of one process: its latest changes of state, in order."""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from threading import Lock

from .._clock import Clock
from .._ids import HostId, Millis

MAX_EVENTS = 5000
"""The most events that are kept; older ones are dropped."""


class EventKind(Enum):
    """What changed in the process.

    ``SERVING`` is recorded when a starting host puts its versions in force, ``WATCH_CHANGED`` when
    a host begins or ceases to watch the platform, and ``PAUSED`` after a pause of the process.
    """

    STARTED = "started"
    STOPPING = "stopping"
    STOPPED = "stopped"
    TEXT_ACCEPTED = "text_accepted"
    TEXT_REFUSED = "text_refused"
    CATALOGUE_REFUSED = "catalogue_refused"
    CATALOGUE_CHANGED = "catalogue_changed"
    SERVING = "serving"
    WATCH_CHANGED = "watch_changed"
    PLATFORM_LOST = "platform_lost"
    PLATFORM_BACK = "platform_back"
    LINK_OPENED = "link_opened"
    LINK_LOST = "link_lost"
    MEMBER_CHANGED = "member_changed"
    SEARCHER_CHANGED = "searcher_changed"
    POOL_OPENED = "pool_opened"
    POOL_CLOSED = "pool_closed"
    DEPARTMENT_LEAVING = "department_leaving"
    PRESSURE_CHANGED = "pressure_changed"
    PAUSED = "paused"


@dataclass(frozen=True, slots=True)
class Event:
    """One change of state of one host.

    ``sequence`` numbers the events of one run of a host from 1, and ``wall`` is the time of the
    host's wall clock. ``subject`` names what changed, such as a host, a service or a searcher.
    ``seen`` maps each other host to the highest sequence that it had reported to this host before
    the event; it orders the events of hosts whose clocks differ.
    """

    host: HostId
    sequence: int
    wall: Millis
    kind: EventKind
    subject: str
    detail: str = ""
    seen: Mapping[HostId, int] = field(default_factory=dict)


class Timeline:
    """Keeps the latest events of this process; ``on_event`` is called with each new one."""

    def __init__(
        self,
        host: HostId,
        clock: Clock,
        on_event: Callable[[Event], None] = lambda event: None,
    ) -> None:
        self.host = host
        self.on_event = on_event
        self.clock = clock
        self.lock = Lock()
        self.events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self.sequence = 0
        self.seen: dict[HostId, int] = {}

    def add(self, kind: EventKind, subject: str, detail: str = "") -> Event:
        """Record one change of state and return its event."""
        with self.lock:
            self.sequence += 1
            wall = self.clock.wall()
            event = Event(self.host, self.sequence, wall, kind, subject, detail, dict(self.seen))
            self.events.append(event)
        self.on_event(event)
        return event

    def record_sequence(self, host: HostId, sequence: int) -> None:
        """Record ``sequence``, which ``host`` reported as the number of its latest event."""
        with self.lock:
            self.seen[host] = max(sequence, self.seen.get(host, 0))

    def list_events(self) -> list[Event]:
        """Return the kept events, oldest first."""
        with self.lock:
            return list(self.events)
