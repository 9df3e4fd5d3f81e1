"""Measures the processor time of a search at its entry host and at the owners of its services.

The entry host is the host to which the caller sends the search, and the owner of a service is the
host that sends the sub-queries to its searchers.
"""

import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

from tests.standins.fleet import Fleet

from bench.version import flat_text

from ._cpu import cpu_seconds
from ._host_costs import FAN_OUTS
from ._slope import Slope
from ._stopwatch import MICROS_PER_SECOND

QUERIES = 240
CALLERS = 4
EXCHANGES = 240
"""The number of requests over which the cost of a bare exchange is averaged."""


@dataclass(frozen=True)
class PathCosts:
    """Slopes of a search at its entry host and at an owner, and the cost of a bare exchange.

    A bare exchange is a request of a caller for which the host does next to nothing.
    """

    entry: Slope
    owner: Slope
    exchange_micros: float


def measure_path() -> PathCosts:
    """Measure searches through one of two hosts, each of which owns half of the services.

    The time that the other host used is that of an owner. The first host is the entry and an owner,
    so the difference between the two is the time of the entry.
    """
    with Fleet(flat_text(FAN_OUTS), 2, behaviour={"service_ms": 1.0}) as fleet:
        rows = [_search_micros(fleet, size) for size in FAN_OUTS]
        sizes = [float(size) for size in FAN_OUTS]
        owned_sizes = [size / 2 for size in sizes]
        return PathCosts(
            Slope("query at its entry", "us", "sub-query", sizes, [row[0] for row in rows]),
            Slope(
                "sub-query at its owner", "us", "sub-query", owned_sizes, [row[1] for row in rows]
            ),
            _exchange_micros(fleet),
        )


def _search_micros(fleet: Fleet, size: int) -> tuple[float, float]:
    """Return the processor time in microseconds per search of ``size`` services.

    The first figure is that of the entry, the second that of an owner of half of the services.
    """
    services = [f"d{size}/{n}" for n in range(size)]
    fleet.search(0, services)
    time.sleep(0.5)
    before = _cpu_seconds_of_hosts(fleet)

    def run(_: int) -> None:
        reply = fleet.search(0, services, remaining_ms=5000.0)
        assert reply.status == 200 and reply.body["whole"], reply

    with ThreadPoolExecutor(CALLERS) as callers:
        list(callers.map(run, range(QUERIES)))
    first, second = (
        (after - start) / QUERIES * MICROS_PER_SECOND
        for start, after in zip(before, _cpu_seconds_of_hosts(fleet), strict=True)
    )
    return first - second, second


def _exchange_micros(fleet: Fleet) -> float:
    """Return the processor time in microseconds of a request that only returns a ticket."""
    before = _cpu_seconds_of_hosts(fleet)
    for _ in range(EXCHANGES):
        fleet.mint(0)
    return (_cpu_seconds_of_hosts(fleet)[0] - before[0]) / EXCHANGES * MICROS_PER_SECOND


def _cpu_seconds_of_hosts(fleet: Fleet) -> list[float]:
    return [cpu_seconds(fleet.processes[host["host"]].pid) for host in fleet.hosts]
