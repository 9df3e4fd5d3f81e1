"""Applies the published evacuations to the searchers, and records them in the log."""

from collections.abc import Iterable
from typing import Protocol

from ...._ids import FailureDomainId, Millis
from ....version.gateway import Change, DomainEvacuated, EvacuationEnded
from .._holds import Holds
from .._log import EventLog, LogEvent
from .._metrics import Metrics


class EvacuationTarget(Protocol):
    """The searchers that evacuations concern; any task may call it."""

    def evacuate(self, domain: FailureDomainId) -> bool:
        """Send nothing to the searchers of a domain; return ``False`` if that is so already."""
        ...

    def end_evacuation(self, domain: FailureDomainId) -> bool:
        """Use the searchers of a domain again; return whether it was evacuated."""
        ...


class ChangeLog(Protocol):
    """Passes changes on to other gateways."""

    def add(self, change: Change) -> None:
        """Pass one change on."""
        ...


class EvacuationApplier:
    """Starts and ends evacuations; only the task that follows the catalogue uses it.

    ``in_force`` has the evacuated domains, and ``holds`` those that a restored store may have lost:
    they end at the stated times unless they are published again.
    """

    def __init__(
        self, target: EvacuationTarget, relay: ChangeLog, log: EventLog, metrics: Metrics
    ) -> None:
        self.target = target
        self.relay = relay
        self.log = log
        self.metrics = metrics
        self.in_force: set[FailureDomainId] = set()
        self.holds = Holds[FailureDomainId]()
        self.has_logged_excess = False

    def start(self, change: DomainEvacuated) -> None:
        """Evacuate a domain; a repeated publication changes and logs nothing."""
        self.holds.release(change.domain)
        if not self.target.evacuate(change.domain):
            if change.domain not in self.in_force and not self.has_logged_excess:
                self.has_logged_excess = True
                detail = "too many evacuations"
                self.log.write(LogEvent.UNREADABLE, key=change.domain, detail=detail)
            return
        self.in_force.add(change.domain)
        self.relay.add(DomainEvacuated(change.domain))
        self.log.write(LogEvent.DOMAIN_EVACUATED, domain=change.domain, detail=change.detail)
        self._set_gauge()

    def end(self, change: EvacuationEnded, why: str = "removed") -> None:
        """End the evacuation of a domain, if it is evacuated; ``why`` is written to the log."""
        self.holds.release(change.domain)
        if not self.target.end_evacuation(change.domain):
            return
        self.in_force.discard(change.domain)
        self.relay.add(change)
        self.log.write(LogEvent.EVACUATION_ENDED, domain=change.domain, why=why)
        self._set_gauge()

    def apply_all(self, changes: Iterable[Change], hold_until: Millis | None = None) -> None:
        """End the evacuations that the whole catalogue does not list.

        Those that are held, or are to be held until a time, stay in force.
        """
        listed = {change.domain for change in changes if isinstance(change, DomainEvacuated)}
        for domain in sorted(self.in_force - listed - self.holds.until.keys()):
            if hold_until is None:
                self.end(EvacuationEnded(domain), "not in the list")
            else:
                self.holds.hold(domain, hold_until)

    def end_overdue(self, now: Millis) -> None:
        """End the held evacuations that were not published again in time."""
        for domain in sorted(self.holds.take_overdue(now)):
            self.end(EvacuationEnded(domain), "not back in the list")

    def _set_gauge(self) -> None:
        self.metrics.set_gauge("domains_evacuated", len(self.in_force))
