"""Measures what hosts use for control work, in idle fleets and under load.

Control work is all that a host does besides requests: membership, configuration, pressure.
"""

import json
import sys
import time
from dataclasses import dataclass
from typing import Any

from tests.standins.fleet import Fleet
from tests.texts import SMALL

from bench.version import DEPLOYMENTS, SEARCHER_BEHAVIOUR

from ._load import Load
from .counted_host import REQUEST_MESSAGES

FLEET_SIZES = [3, 7, 15, 30]
"""Numbers of hosts of the idle fleets."""

WINDOW_SECONDS = 8.0
"""The length of the window in which the use is measured."""

SETTLE_SECONDS = 5.0
"""The wait after the hosts have started, and again after the load has."""

BUSY_RATES = {"urgent": 2.0, "standard": 14.0, "bulk": 4.0}
"""Queries a second to the whole fleet by rank; each fans out to 20 services."""


@dataclass(frozen=True)
class HostUse:
    """What one host used per second, averaged over its fleet.

    CPU is in seconds per second, that is in cores; ``by_kind`` gives it by kind of message or task,
    and ``all_cpu`` is that of the whole process. ``control_sent`` and ``work_sent`` are the bytes
    per second of the messages for control work and of those for requests; ``sent_by_kind`` gives
    them by kind of message. ``resident`` is the memory in bytes and ``threads`` the number of
    threads at the end.
    """

    hosts: int
    control_cpu: float
    all_cpu: float
    control_sent: float
    work_sent: float
    resident: float
    threads: float
    by_kind: dict[str, float]
    sent_by_kind: dict[str, float]


class CountedFleet(Fleet):
    """A fleet whose hosts run as :mod:`.counted_host`; each writes its counts to a file."""

    def _spawn(self, name: str, command: list[str]) -> None:
        if "serve" in command:
            settings, counts = command[-1], str(self.folder / f"{name}.counts")
            command = [sys.executable, "-m", "bench.process.counted_host", settings, counts]
        super()._spawn(name, command)

    def counts(self) -> list[dict[str, Any]]:
        """Return the counts that each host wrote last."""
        paths = [self.folder / f"{host['host']}.counts" for host in self.hosts]
        return [json.loads(path.read_text()) for path in paths]


def measure_idle_fleet(hosts: int) -> HostUse:
    """Return what a host uses in a fleet of ``hosts`` hosts with a small text and no requests."""
    with CountedFleet(SMALL, hosts) as fleet:
        time.sleep(SETTLE_SECONDS)
        before = fleet.counts()
        time.sleep(WINDOW_SECONDS)
        return _mean_use(before, fleet.counts())


def measure_kerala_fleet(*, busy: bool) -> HostUse:
    """Return what a host uses in the deployment kerala, idle or under load.

    This is the larger of today's deployments, with 7 hosts and 108 searchers.
    """
    deployment = DEPLOYMENTS["kerala"]
    with CountedFleet(
        deployment.text, deployment.hosts, searcher_processes=2, behaviour=SEARCHER_BEHAVIOUR
    ) as fleet:
        time.sleep(SETTLE_SECONDS)
        load = Load(fleet, [deployment.wide_service], BUSY_RATES, 2 * WINDOW_SECONDS)
        if busy:
            load.start()
            time.sleep(SETTLE_SECONDS)
        before = fleet.counts()
        time.sleep(WINDOW_SECONDS)
        after = fleet.counts()
        load.stop()
        return _mean_use(before, after)


def _mean_use(before: list[dict[str, Any]], after: list[dict[str, Any]]) -> HostUse:
    pairs = list(zip(before, after, strict=True))
    by_kind = _mean_rates(pairs, "seconds")
    sent = _mean_rates(pairs, "sent")
    return HostUse(
        hosts=len(pairs),
        control_cpu=sum(rate for kind, rate in by_kind.items() if kind not in REQUEST_MESSAGES),
        all_cpu=_mean((b["cpu"] - a["cpu"]) / (b["at"] - a["at"]) for a, b in pairs),
        control_sent=sum(rate for kind, rate in sent.items() if kind not in REQUEST_MESSAGES),
        work_sent=sum(rate for kind, rate in sent.items() if kind in REQUEST_MESSAGES),
        resident=_mean(b["resident"] for _, b in pairs),
        threads=_mean(b["threads"] for _, b in pairs),
        by_kind=by_kind,
        sent_by_kind=sent,
    )


def _mean_rates(pairs: list, field: str) -> dict[str, float]:
    kinds = sorted({kind for _, after in pairs for kind in after[field]})
    return {
        kind: _mean(
            (b[field].get(kind, 0) - a[field].get(kind, 0)) / (b["at"] - a["at"]) for a, b in pairs
        )
        for kind in kinds
    }


def _mean(values: Any) -> float:
    collected = list(values)
    return sum(collected) / len(collected)
