"""``make slopes``: measures costs at several sizes and fits a straight line to each of them.

The lines are printed and written to ``docs/slopes.json``, from which the tables of
``docs/CAPACITY.md`` are computed.
"""

import json
import multiprocessing
import os
import platform
import subprocess
import sys
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from datetime import UTC, datetime
from typing import Any

from tests.standins.fleet import ROOT

import bench.connection as connection
import bench.version as version

from . import _host_costs as host_costs
from ._control_fleet import FLEET_SIZES, HostUse, measure_idle_fleet, measure_kerala_fleet
from ._path_costs import measure_path
from ._slope import Slope
from ._stopwatch import cpu_micros
from ._watch_costs import measure_watch

RESULTS = ROOT / "docs" / "slopes.json"
PRINT_RESIDENT_BYTES = "from bench.connection import resident_bytes as r; print(r())"
PRINT_RESIDENT_KB = (
    "print(next(x.split()[1] for x in open('/proc/self/status') if x.startswith('VmRSS')))"
)

Calls = list[Callable[[], object]]


def cpu_slope(name: str, per: str, sizes: Iterable[float], calls: Calls, repeats: int) -> Slope:
    """Measure the processor time of each call, and return the times as a slope.

    There is one call for each size; ``per`` names what the sizes count.
    """
    values = [cpu_micros(call, repeats) for call in calls]
    return Slope(name, "us", per, list(map(float, sizes)), values)


def bytes_slope(name: str, per: str, sizes: Iterable[float], values: list[float]) -> Slope:
    """Return numbers of bytes, of memory or of messages, as a slope."""
    return Slope(name, "bytes", per, list(map(float, sizes)), values)


def version_slopes() -> dict[str, Slope]:
    """Measure the costs of configuration texts, their deltas and owner tables."""
    searchers = version.text_sizes()
    return {
        "accept": cpu_slope("text accepted", "searcher", searchers, version.accept_calls(), 2),
        "adopt": cpu_slope("delta adopted", "searcher", searchers, version.apply_calls(), 2),
        "delta": cpu_slope("delta made", "searcher", searchers, version.delta_calls(), 10),
        "table": cpu_slope("owner table", "host", version.HOST_COUNTS, version.table_calls(), 1),
        "wide_table": cpu_slope(
            "owner table, 3,300 hosts",
            "department",
            version.department_counts(),
            version.wide_table_calls(),
            1,
        ),
        "table_memory": bytes_slope(
            "owner table in memory", "service", version.service_counts(), version.table_memory()
        ),
        "text_bytes": bytes_slope("text", "searcher", searchers, version.text_bytes()),
        "delta_bytes": bytes_slope("delta", "searcher", searchers, version.delta_bytes()),
        "text_memory": bytes_slope("text in memory", "searcher", searchers, version.text_memory()),
    }


def message_slopes() -> dict[str, Slope]:
    """Measure the processor time and the bytes of messages between hosts."""
    slopes = {}
    for kind, per in (
        (connection.ask, "service"),
        (connection.reply, "hit"),
        (connection.heartbeat, "belief"),
        (connection.pressure, "service"),
    ):
        name = kind.__name__
        messages = [kind(size) for size in connection.SIZES]
        calls = [connection.exchange_call(message) for message in messages]
        lengths = [connection.wire_bytes(message) for message in messages]
        slopes[name] = cpu_slope(f"{name}, both ends", per, connection.SIZES, calls, 60)
        slopes[f"{name}_bytes"] = bytes_slope(name, per, connection.SIZES, lengths)
    return slopes


def host_slopes() -> dict[str, Slope]:
    """Measure a host's own work and state: refused queries, heartbeats, members and pools."""
    members = host_costs.MEMBER_COUNTS
    fan_outs = host_costs.FAN_OUTS
    return {
        "refused": cpu_slope("refused query", "service", fan_outs, host_costs.refused_calls(), 20),
        "beat": cpu_slope(
            "heartbeat, own work", "member", members, host_costs.heartbeat_calls(), 3
        ),
        "wide_beat": cpu_slope(
            "heartbeat, text",
            "service",
            version.service_counts(),
            host_costs.large_text_heartbeat_calls(),
            5,
        ),
        "change": cpu_slope("member change", "member", members, host_costs.change_calls(), 2),
        "member_memory": bytes_slope("belief", "member", members, host_costs.member_memory()),
        "pool_memory": bytes_slope(
            "pool", "pool", host_costs.POOL_COUNTS, host_costs.pool_memory()
        ),
    }


def connection_slopes() -> dict[str, Slope]:
    """Measure the memory of connections, each kind of connection in a new process."""
    context = multiprocessing.get_context("spawn")
    slopes = {}
    for name, per, measure_memory in (
        ("link_memory", "link with both ends", connection.link_memory),
        ("searcher_memory", "connection", connection.searcher_connection_memory),
    ):
        with ProcessPoolExecutor(1, mp_context=context) as process:
            values = process.submit(measure_memory).result()
        slopes[name] = bytes_slope(name.replace("_", " "), per, connection.COUNTS, values)
    return slopes


def path_slopes() -> tuple[dict[str, Slope], float]:
    """Measure, in running processes, searches and reads of the platform.

    Return the slopes, and the processor time of a bare exchange with a caller in microseconds.
    """
    path = measure_path()
    value, listing, listing_bytes = measure_watch()
    slopes = {
        "entry": path.entry,
        "owner": path.owner,
        "watch": value,
        "host_list": listing,
        "host_list_bytes": listing_bytes,
    }
    return slopes, path.exchange_micros


def run_and_read_number(code: str) -> float:
    """Run a small program in a new process and return the number that it prints."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join([str(ROOT / "src"), str(ROOT)])}
    command = [sys.executable, "-c", code]
    return float(subprocess.check_output(command, env=environment, cwd=ROOT))


def conditions() -> dict[str, Any]:
    """Return the time, the processors, the Python version and the load of the machine."""
    return {
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M"),
        "processors": os.cpu_count(),
        "python": platform.python_version(),
        "load_average": round(os.getloadavg()[0], 1),
    }


def measure_all() -> dict[str, Any]:
    """Measure everything and return the contents of the results file."""
    start = conditions()
    slopes = version_slopes() | message_slopes() | host_slopes() | connection_slopes()
    paths, exchange = path_slopes()
    slopes |= paths
    for slope in slopes.values():
        print(slope.describe(), flush=True)
    fleets = {f"idle {size}": report_fleet_use(measure_idle_fleet(size)) for size in FLEET_SIZES}
    fleets |= {"kerala idle": report_fleet_use(measure_kerala_fleet(busy=False))}
    fleets |= {"kerala busy": report_fleet_use(measure_kerala_fleet(busy=True))}
    return {
        "conditions": start | {"load_average_at_end": round(os.getloadavg()[0], 1)},
        "slopes": {name: slope.fields() for name, slope in slopes.items()},
        "exchange_us": exchange,
        "digest_bytes": connection.wire_bytes(connection.digest_heartbeat()),
        "empty_heartbeat_bytes": connection.wire_bytes(connection.heartbeat(0)),
        "bare_python_bytes": run_and_read_number(PRINT_RESIDENT_KB) * 1024,
        "imports_bytes": run_and_read_number(
            f"import masticgate.process.server; {PRINT_RESIDENT_BYTES}"
        ),
        "fleets": fleets,
    }


def report_fleet_use(use: HostUse) -> dict[str, Any]:
    """Print what a host of one fleet used, and return it as JSON values."""
    print(
        f"{use.hosts} hosts: control {use.control_cpu:.2%} of a core, "
        f"{use.control_sent:.0f} B/s sent, all {use.all_cpu:.2%} of a core, "
        f"{use.resident / 1e6:.1f} MB resident, {use.threads:.0f} tasks",
        flush=True,
    )
    return asdict(use)


def main() -> None:
    """Measure and print the figures, and write them with four significant digits."""
    figures = json.loads(json.dumps(measure_all()), parse_float=lambda text: _rounded(float(text)))
    RESULTS.write_text(json.dumps(figures, indent=1) + "\n")


def _rounded(value: float) -> float:
    return float(f"{value:.4g}")


if __name__ == "__main__":
    main()
