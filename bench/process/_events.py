"""Faults and changes that happen to a fleet during a trial of the bench or during the demo."""

import signal
import time
from dataclasses import dataclass, field

from tests.standins.fleet import Fleet, shard_map

from bench.version import Deployment

OLD_SNAPSHOT, NEW_SNAPSHOT = 1, 2
SHARDS_AFTER_REPARTITION = 3
"""The number of shards of each service in the new snapshot."""

HELD_BOTH_SECONDS = 1.5
"""How long the searchers hold the old snapshot besides the new one."""

LEAVING_SECONDS = 3.0
"""The time after the edit from which a leaving department must receive no new work."""


@dataclass(frozen=True)
class LoseSearcher:
    """One searcher that the wide search needs refuses connections and answers no more requests."""


@dataclass(frozen=True)
class Repartition:
    """A snapshot with other shards is published, and later no searcher holds the old one."""


@dataclass(frozen=True)
class PauseHost:
    """The process of the last host is paused by a signal for ``seconds``."""

    seconds: float = 2.0


@dataclass(frozen=True)
class KillHost:
    """The process of the last host is killed, while the platform's host list still names it."""


@dataclass(frozen=True)
class PlatformDown:
    """The platform answers every request with an error from now on."""


@dataclass(frozen=True)
class Depart:
    """A department is marked as leaving in the configuration text."""


Event = LoseSearcher | Repartition | PauseHost | KillHost | PlatformDown | Depart


@dataclass
class EventRunner:
    """Makes events happen to a fleet, and counts the sub-queries started after a departure.

    ``started_before_leaving`` is the number of sub-queries that the searchers of the leaving
    department had started at the time from which they must receive no new work.
    ``work_after_leaving`` is the number that they started after it, or ``None`` if no department
    left.
    """

    fleet: Fleet
    deployment: Deployment
    work_after_leaving: int | None = None
    started_before_leaving: int = field(default=0)

    def run(self, event: Event) -> None:
        """Make ``event`` happen, and return when all its steps are done."""
        fleet = self.fleet
        match event:
            case LoseSearcher():
                fleet.set_behaviour([self._wide_searcher()], lost=True)
            case Repartition():
                self._repartition()
            case PauseHost(seconds=seconds):
                fleet.signal(self._last_host(), signal.SIGSTOP)
                time.sleep(seconds)
                fleet.signal(self._last_host(), signal.SIGCONT)
            case KillHost():
                fleet.kill(self._last_host())
            case PlatformDown():
                fleet.control_platform("down", down=True)
            case Depart():
                fleet.publish_text(self.deployment.edited_text)
                time.sleep(LEAVING_SECONDS)
                self.started_before_leaving = self.count(
                    "started", self.deployment.leaving_department
                )

    def finish(self, event: Event) -> None:
        """Compute ``work_after_leaving`` if a department left; call this after the load."""
        if isinstance(event, Depart):
            started = self.count("started", self.deployment.leaving_department)
            self.work_after_leaving = started - self.started_before_leaving

    def count(self, counter: str, id_prefix: str) -> int:
        """Return the sum of one counter over the searchers of some services.

        These are the services whose ids begin with ``id_prefix``.
        """
        return sum(
            searcher["counts"].get(counter, 0)
            for searcher in self.fleet.searcher_reports(include_search_log=False).values()
            if searcher["service"].startswith(id_prefix)
        )

    def _repartition(self) -> None:
        fleet = self.fleet
        shards = shard_map(fleet.configuration, SHARDS_AFTER_REPARTITION, "t")
        fleet.set_behaviour([], held=[OLD_SNAPSHOT, NEW_SNAPSHOT])
        fleet.publish_snapshots([*fleet.snapshots, {"version": NEW_SNAPSHOT, "shards": shards}])
        time.sleep(HELD_BOTH_SECONDS)
        fleet.set_behaviour([], held=[NEW_SNAPSHOT])

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
