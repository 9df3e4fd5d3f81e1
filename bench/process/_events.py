"""What happens to a fleet in the middle of a load."""

import signal
import time
from dataclasses import dataclass, field

from tests.standins.fleet import Fleet, shard_map

from bench.version import Deployment

OLD_SNAPSHOT, NEW_SNAPSHOT = 1, 2
SHARDS_AFTER_REPARTITION = 3
HELD_BOTH_SECONDS = 1.5
LEAVING_SECONDS = 3.0
"""After this long an upstream that leaves receives no new work."""


@dataclass(frozen=True)
class LoseSearcher:
    """One searcher of the wide group refuses connections from now on."""


@dataclass(frozen=True)
class Repartition:
    """A snapshot with other shards is published; later the old one is held nowhere."""


@dataclass(frozen=True)
class PauseHost:
    """The last host's process stops for a while."""

    seconds: float = 2.0


@dataclass(frozen=True)
class KillHost:
    """The last host's process ends at once; the platform's list does not tell."""


@dataclass(frozen=True)
class PlatformDown:
    """The configuration service and the host list answer nothing from now on."""


@dataclass(frozen=True)
class Depart:
    """A department is marked as leaving in the text."""


Event = LoseSearcher | Repartition | PauseHost | KillHost | PlatformDown | Depart


@dataclass
class EventRunner:
    """Runs the events of one trial, and keeps what is counted of them."""

    fleet: Fleet
    deployment: Deployment
    work_after_leaving: int | None = None
    started_at_departure: int = field(default=0)

    def run(self, event: Event) -> None:
        """Make ``event`` happen; it returns when the event is over."""
        fleet = self.fleet
        match event:
            case LoseSearcher():
                fleet.turn([self._wide_searcher()], lost=True)
            case Repartition():
                self._repartition()
            case PauseHost(seconds=seconds):
                fleet.signal(self._last_host(), signal.SIGSTOP)
                time.sleep(seconds)
                fleet.signal(self._last_host(), signal.SIGCONT)
            case KillHost():
                fleet.kill(self._last_host())
            case PlatformDown():
                fleet.platform("down", down=True)
            case Depart():
                fleet.put_text(self.deployment.text_without)
                time.sleep(LEAVING_SECONDS)
                self.started_at_departure = self.count(
                    "started", self.deployment.leaving_department
                )

    def finish(self, event: Event) -> None:
        """Measure, after the load, what ``event`` left behind."""
        if isinstance(event, Depart):
            started = self.count("started", self.deployment.leaving_department)
            self.work_after_leaving = started - self.started_at_departure

    def count(self, counter: str, group: str) -> int:
        """Return a count over all searchers of the services whose names begin with ``group``."""
        return sum(
            searcher["counts"].get(counter, 0)
            for searcher in self.fleet.searchers(logs=False).values()
            if searcher["service"].startswith(group)
        )

    def _repartition(self) -> None:
        fleet = self.fleet
        shards = shard_map(fleet.configuration, SHARDS_AFTER_REPARTITION, "t")
        fleet.turn([], held=[OLD_SNAPSHOT, NEW_SNAPSHOT])
        fleet.put_snapshots([*fleet.snapshots, {"version": NEW_SNAPSHOT, "shards": shards}])
        time.sleep(HELD_BOTH_SECONDS)
        fleet.turn([], held=[NEW_SNAPSHOT])

    def _wide_searcher(self) -> str:
        services = self.fleet.configuration.services.values()
        return next(
            searcher.id
            for service in services
            for searcher in service.searchers
            if service.id.startswith(self.deployment.wide_service)
        )

    def _last_host(self) -> str:
        return str(self.fleet.hosts[-1]["host"])
