"""What gatherers tell each other of slow searchers, through the heartbeats to the seeds.

Load scenario: a searcher that turns slow for seconds. Each gatherer sends it one or two calls a
second, so that without reports each would find out by a late answer of its own.
"""

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ...._fields import FieldError, decode_json, is_name
from ...._ids import Millis, SearcherId
from ._speed import REPORT_TTL, Report

MIN_REPORTED_FACTOR = 1.5
"""Only searchers that are slower than this, by the gateway's own evidence, are reported."""

MAX_REPORTED_FACTOR = 1_000.0
"""A report with a greater factor is invalid."""

MAX_SENT = 32
"""The number of searchers in one heartbeat; the latest evidence is preferred."""

MAX_RETURNED = 64
"""The number of searchers in one reply of a seed."""

Reports = dict[SearcherId, Report]


@dataclass(frozen=True, slots=True)
class SlowSearcher:
    """A searcher that is slow by ``factor``, by evidence that is ``age`` old."""

    searcher: SearcherId
    factor: float
    age: Millis


class ReceivedReports:
    """The latest report of each searcher that a seed has received; its holder guards it."""

    def __init__(self) -> None:
        self.reports: Reports = {}

    def record(self, slow: Iterable[SlowSearcher], now: Millis) -> None:
        """Record reports, and drop those that are too old."""
        for item in slow:
            report = Report(item.factor, Millis(now - item.age))
            known = self.reports.get(item.searcher)
            if known is None or known.noticed_at < report.noticed_at:
                self.reports[item.searcher] = report
        self.reports = {
            searcher: report
            for searcher, report in self.reports.items()
            if now - report.noticed_at < REPORT_TTL
        }

    def latest(self, now: Millis) -> list[SlowSearcher]:
        """Return the reports with the latest evidence, as many as a reply may hold."""
        slow = [
            SlowSearcher(searcher, report.factor, Millis(now - report.noticed_at))
            for searcher, report in self.reports.items()
        ]
        return choose_latest(slow, MAX_RETURNED)


def choose_latest(slow: Iterable[SlowSearcher], count: int) -> list[SlowSearcher]:
    """Return at most ``count`` reports, those with the latest evidence."""
    return sorted(slow, key=lambda item: item.age)[:count]


def to_items(slow: Sequence[SlowSearcher]) -> list[list[object]]:
    """Return reports as a value for JSON: a name, a factor and an age in milliseconds for each."""
    return [[item.searcher, round(item.factor, 2), round(item.age)] for item in slow]


def encode_reports(slow: Sequence[SlowSearcher]) -> str:
    """Return reports as the text of a query parameter."""
    return json.dumps(to_items(slow), separators=(",", ":"))


def decode_reports(text: str) -> list[SlowSearcher]:
    """Return the reports in a query parameter; invalid ones are left out."""
    try:
        return from_items(decode_json(text.encode("utf-8", "replace")), MAX_SENT)
    except FieldError:
        return []


def from_items(value: object, count: int = MAX_RETURNED) -> list[SlowSearcher]:
    """Return the valid reports among the first ``count`` items of a decoded JSON value."""
    slow = []
    for item in value[:count] if isinstance(value, list) else ():
        match item:
            case [str(name), int() | float() as factor, int() | float() as age] if (
                is_name(name)
                and MIN_REPORTED_FACTOR < factor <= MAX_REPORTED_FACTOR
                and 0 <= age < REPORT_TTL
            ):
                slow.append(SlowSearcher(SearcherId(name), float(factor), Millis(float(age))))
    return slow
