"""A load process: ``python -m bench.process.load PLAN.json`` sends searches to a fleet.

The plan gives the load, the file for the results and the start time, on the monotonic clock that
all processes of a machine share.
"""

import json
import sys
import threading
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bench.connection import Caller
from bench.request import Arrival, Result, draw_arrivals

CONNECTIONS_PER_HOST = 100
"""The number of callers for each host in each load process; each has one connection.

While no host refuses connections, all load processes together open fewer to a host than it accepts.
"""


class SharedArrivals:
    """An iterator over arrivals that several threads share; each arrival goes to one of them."""

    def __init__(self, arrivals: list[Arrival]) -> None:
        self.arrivals = iter(arrivals)
        self.lock = threading.Lock()

    def __iter__(self) -> Iterator[Arrival]:
        return self

    def __next__(self) -> Arrival:
        with self.lock:
            return next(self.arrivals)


def make_callers(plan: dict[str, Any]) -> list[Caller]:
    """Return the callers for every host; those of one host share its arrivals."""
    addresses: list[str] = plan["addresses"]
    rates = {rank: rate / len(addresses) for rank, rate in plan["rates"].items()}
    callers: list[Caller] = []
    for index in range(len(addresses)):
        drawn = draw_arrivals(rates, plan["seconds"], f"{plan['seed']}/{index}")
        arrivals = SharedArrivals(drawn)
        own_host_first = addresses[index:] + addresses[:index]
        callers += [
            Caller(
                own_host_first, plan["services"], plan["deadline_ms"], arrivals, plan["started_at"]
            )
            for _ in range(CONNECTIONS_PER_HOST)
        ]
    return callers


def run(plan: dict[str, Any]) -> list[Result]:
    """Run every caller as a task and return the results of all arrivals."""
    callers = make_callers(plan)
    with ThreadPoolExecutor(len(callers)) as tasks:
        return [result for results in tasks.map(Caller.run, callers) for result in results]


if __name__ == "__main__":
    plan = json.loads(Path(sys.argv[1]).read_text())
    Path(plan["results"]).write_text(json.dumps([asdict(result) for result in run(plan)]))
