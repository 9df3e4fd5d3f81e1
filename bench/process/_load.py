"""Starts load processes against a fleet and collects their results."""

import json
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins.fleet import ROOT, Fleet

from bench.request import Result

LOAD_PROCESSES = 2
DEADLINE_MS = 230.0
"""The caller timeout of each search."""

START_LEAD_SECONDS = 1.0
"""Time for the load processes to start before their first arrival."""

FINISH_GRACE_SECONDS = 15.0
"""Time for a load process to end, in addition to the duration of the load."""


@dataclass
class Load:
    """One run of load against a running fleet.

    ``rates`` are the searches per second by rank over the whole fleet, for ``seconds``.
    """

    fleet: Fleet
    services: list[str]
    rates: dict[str, float]
    seconds: float
    seed: int = 1
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def start(self) -> float:
        """Start the load processes and return the monotonic time at which their load begins."""
        started_at = time.monotonic() + START_LEAD_SECONDS
        for number in range(LOAD_PROCESSES):
            plan = {
                "addresses": self.fleet.caller_addresses,
                "services": self.services,
                "rates": {rank: rate / LOAD_PROCESSES for rank, rate in self.rates.items()},
                "seconds": self.seconds,
                "seed": f"{self.seed}/{number}",
                "deadline_ms": DEADLINE_MS,
                "started_at": started_at,
                "results": str(self._results(number)),
            }
            path = self.fleet.folder / f"load-{number}.json"
            path.write_text(json.dumps(plan))
            command = [sys.executable, "-m", "bench.process.load", str(path)]
            self.processes.append(subprocess.Popen(command, cwd=ROOT))
        return started_at

    def finish(self) -> list[Result]:
        """Wait for the load to end and return the result of each arrival."""
        results: list[Result] = []
        for number, process in enumerate(self.processes):
            if process.wait(self.seconds + FINISH_GRACE_SECONDS) != 0:
                raise RuntimeError("a load process ended with an error")
            rows = json.loads(self._results(number).read_text())
            results += [Result(**row) for row in rows]
        return results

    def stop(self) -> None:
        """Kill the load processes that still run."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()

    def _results(self, number: int) -> Path:
        return self.fleet.folder / f"results-{number}.json"
