"""Passes the reports of slow searchers between the heartbeats and the fleet."""

from collections.abc import Iterable
from threading import Lock

from ..._ids import Millis
from ._fleet import Fleet
from .searchers import (
    MAX_SENT,
    MIN_REPORTED_FACTOR,
    ReceivedReports,
    Report,
    SlowSearcher,
    choose_latest,
    decode_reports,
    encode_reports,
    from_items,
    to_items,
)


class SlowReports:
    """The reports that this gateway sends, and those that it returns if it is a seed."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.lock = Lock()
        self.received = ReceivedReports()

    def encode_own(self) -> str:
        """Return the query parameter of a heartbeat: what this gateway's own calls say."""
        return encode_reports(self._own(self.fleet.now()))

    def exchange(self, text: str) -> list[list[object]]:
        """Record the parameter of a heartbeat; return the field of the reply to it."""
        now = self.fleet.now()
        reports = decode_reports(text)
        with self.lock:
            self.received.record([*reports, *self._own(now)], now)
            latest = self.received.latest(now)
        self._apply(reports, now)
        return to_items(latest)

    def apply_reply(self, value: object) -> None:
        """Apply the field of a seed's reply to the searchers of this gateway."""
        self._apply(from_items(value), self.fleet.now())

    def _own(self, now: Millis) -> list[SlowSearcher]:
        with self.fleet.lock:
            slow = [
                SlowSearcher(
                    replica.entry.id, replica.speed.late_factor, Millis(now - replica.speed.late_at)
                )
                for replica in self.fleet.replicas.values()
                if replica.speed.is_slow(now) and not replica.speed.is_reported
            ]
        return choose_latest((s for s in slow if s.factor > MIN_REPORTED_FACTOR), MAX_SENT)

    def _apply(self, slow: Iterable[SlowSearcher], now: Millis) -> None:
        applied = 0
        with self.fleet.lock:
            for item in slow:
                replica = self.fleet.replicas.get(item.searcher)
                if replica is not None:
                    report = Report(item.factor, Millis(now - item.age))
                    applied += self.fleet.outcomes.record_evidence(replica, report, now)
        if applied:
            self.fleet.metrics.count("slow_reports", applied)
