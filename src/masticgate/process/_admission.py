"""Refuses whole queries at their entry host if a service could not finish its part of them.

The entry host of a query is the host that received it from the caller. The owner of a service,
which queues the service's work, reports its pressure: the share of the queries of each rank that
the service can take. The rank of a query is its urgency.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from threading import Lock

from .._clock import Clock
from .._failures import NotRun, Reason, Step
from .._ids import HostId, Millis, ServiceId
from .._ranks import Rank
from ..version import Service
from ._messages import RefusedCount, ServicePressure

PRESSURE_TTL = Millis(1500.0)
"""A pressure report that is older than this is ignored."""


@dataclass(frozen=True, slots=True)
class _PressureReport:
    """The share of each rank's queries that a service can take, as its owner reported it."""

    owner: HostId
    admitted: tuple[float, float, float]
    reported_at: Millis


class AdmissionControl:
    """Keeps the owners' pressure reports, and counts the queries refused because of them.

    A query is admitted if its admission number is below the admitted share of every service that
    it needs. A service without a current report admits all. The number is random, from 0 to 1, and
    drawn once per query, so that all its services agree and no query is sent to some of its
    services in vain.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.lock = Lock()
        self.reports: dict[ServiceId, _PressureReport] = {}
        self.refused: dict[tuple[ServiceId, Rank], int] = {}

    def record_pressure(self, owner: HostId, services: Iterable[ServicePressure]) -> None:
        """Record an owner's report of the share of queries that its services can take."""
        now = self.clock.now()
        with self.lock:
            for item in services:
                self.reports[item.service] = _PressureReport(owner, item.admitted, now)

    def admit(
        self, rank: Rank, admission_number: float, services: Iterable[Service]
    ) -> NotRun | None:
        """Return why a query is refused, or ``None`` to admit it.

        A refused query is counted as demand of every service that it needs.
        """
        reports = self.reports
        if not reports:
            return None
        needed = [service.id for service in services]
        oldest = self.clock.now() - PRESSURE_TTL
        for service in needed:
            report = reports.get(service)
            if (
                report is None
                or report.reported_at < oldest
                or admission_number < report.admitted[rank]
            ):
                continue
            self._count_refused(needed, rank)
            return NotRun(Reason.OVERLOAD, Step.ADMISSION, peer=service)
        return None

    def pop_refused(self) -> dict[HostId, list[RefusedCount]]:
        """Return the counts of refused queries since the last call, by owner, and reset them.

        Also discard the outdated pressure reports, and the counts of services without a current
        one.
        """
        with self.lock:
            refused, self.refused = self.refused, {}
            oldest = self.clock.now() - PRESSURE_TTL
            self.reports = {
                service: report
                for service, report in self.reports.items()
                if report.reported_at >= oldest
            }
            by_owner: dict[HostId, list[RefusedCount]] = {}
            for (service, rank), count in refused.items():
                report = self.reports.get(service)
                if report is not None:
                    counts = by_owner.setdefault(report.owner, [])
                    counts.append(RefusedCount(service, rank, count))
            return by_owner

    def _count_refused(self, services: Iterable[ServiceId], rank: Rank) -> None:
        with self.lock:
            for service in services:
                key = (service, rank)
                self.refused[key] = self.refused.get(key, 0) + 1
