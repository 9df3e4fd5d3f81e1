"""Tables of the forecast: budgets, the sizes at which limits are reached, costs of failures.

The figures follow from the target size in :mod:`._target` and the measured slopes. A slope is the
straight line through a cost that was measured at several sizes.
"""

from math import ceil, log

from bench.version import DEPLOYMENTS
from masticgate.process._members import MAX_UPDATES_PER_MESSAGE
from masticgate.process._server import MAX_TASKS

from . import _target as target
from ._control_fleet import BUSY_RATES
from ._roles import all_rows
from ._rows import Row, Unit, format_measure, format_number, markdown_table

MAX_CALLERS = 256
"""The default limit of callers' connections to one host; each has a task."""

MICROS_PER_SECOND = 1e6
FRAME_BYTES_LIMIT = 4e6
"""The size limit of one message between hosts."""

OUTAGE_READS_PER_HOST = 3 / 5
"""Reads of the platform per second by a host that is cut off while the platform is down."""

WATCH_DELAY_SECONDS = 0.2
"""The delay of a watch after each new value, before it reads the next one."""

NETWORK_HOP_SECONDS = 0.001
"""The time for one message between hosts."""

MESSAGES_PER_RELAY = 3
"""Messages that one relay of a change needs: announcement, request and sections."""

DETECTION_SECONDS = 7.0
"""The time until a failed host is detected."""

TIGHT_RATIO = 0.8
"""A forecast is marked as tight from this share of its budget."""

BUDGET_HEADS = ["budget", "allowed", "forecast", "verdict"]


def control_rows(slopes: target.Slopes, unit: Unit, roles: tuple[str, ...]) -> list[Row]:
    """Return the rows of ``roles`` that are in ``unit`` and count as control work.

    Control work is all that a host does besides requests.
    """
    rows = all_rows(slopes)
    return [row for role in roles for row in rows[role] if row.control and row.unit is unit]


def control_sum(slopes: target.Slopes, unit: Unit, *, watcher: bool) -> float:
    """Return the sum of the control work of a host in ``unit``.

    Bytes per second are those that the host sends. A watcher, which is a host that reads the
    platform, adds the bytes that it reads.
    """
    roles = ("entry", "relay", "member") + (("watcher",) if watcher else ())
    return sum(row.value for row in control_rows(slopes, unit, roles))


def relay_hops() -> int:
    """Return the number of relays from a watcher to the host that a change reaches last.

    Each host relays the change to its neighbours.
    """
    return ceil(log(target.HOSTS / target.WATCHERS, target.NEIGHBOURS)) + 1


def change_steps(slopes: target.Slopes) -> list[tuple[str, float, float]]:
    """Return the steps of a configuration change and their seconds, in two orders.

    The first number applies to today's order. The second one applies if each host announces the
    change to its peers before it computes its owner table.
    """
    apply_seconds, table_seconds, accept_seconds = (
        slopes.apply_seconds(),
        slopes.table_seconds(),
        slopes.accept_seconds(),
    )
    read_seconds = slopes.value_at("watch", slopes.text_bytes() / 1000) / MICROS_PER_SECOND
    hops = relay_hops()
    network_seconds = hops * MESSAGES_PER_RELAY * NETWORK_HOP_SECONDS
    return [
        ("delay of the watch after the previous value", WATCH_DELAY_SECONDS, WATCH_DELAY_SECONDS),
        ("the watcher reads the text", read_seconds, read_seconds),
        ("the watcher accepts the text", accept_seconds, accept_seconds),
        ("the watcher computes its owner table", table_seconds, 0.0),
        (f"{hops} relays accept the delta", hops * apply_seconds, hops * apply_seconds),
        (f"{hops} relays compute their owner tables", hops * table_seconds, table_seconds),
        (
            f"{hops} relays' messages, {MESSAGES_PER_RELAY} of 1 ms each",
            network_seconds,
            network_seconds,
        ),
    ]


def change_table(slopes: target.Slopes) -> str:
    """Return the table of the steps until a configuration change is in force on every host."""
    lines = change_steps(slopes)
    rows = [[what, f"{now:.2f} s", f"{deferred:.2f} s"] for what, now, deferred in lines]
    rows.append(
        [
            "**sum, on an idle core**",
            f"**{sum(line[1] for line in lines):.2f} s**",
            f"**{sum(line[2] for line in lines):.2f} s**",
        ]
    )
    return markdown_table(
        ["step", "today's order", "owner table computed after the announcement"], rows
    )


def budget_table(slopes: target.Slopes) -> str:
    """Return the table of each budget, its forecast and the verdict."""
    owner = {row.label: row.value for row in all_rows(slopes)["owner"]}
    entry = all_rows(slopes)["entry"]
    process = sum(r.value for r in entry if r.unit is Unit.CORE) + owner["CPU, sub-queries"]
    change = sum(line[1] for line in change_steps(slopes))
    host, watcher = (control_sum(slopes, Unit.CORE, watcher=w) for w in (False, True))
    sent, read = (control_sum(slopes, Unit.BYTES_A_SECOND, watcher=w) for w in (False, True))
    control_memory = control_sum(slopes, Unit.BYTES, watcher=False)
    memory = slopes.figures["imports_bytes"] + control_memory
    outage_reads = target.HOSTS * OUTAGE_READS_PER_HOST
    lines = [
        ("control work: CPU of a host", target.CONTROL_CPU_BUDGET, host, Unit.CORE),
        ("control work: CPU of a watcher", target.CONTROL_CPU_BUDGET, watcher, Unit.CORE),
        (
            "control work: bytes sent by a host",
            target.CONTROL_BYTES_BUDGET,
            sent,
            Unit.BYTES_A_SECOND,
        ),
        (
            "control work: bytes sent and read by a watcher",
            target.CONTROL_BYTES_BUDGET,
            read,
            Unit.BYTES_A_SECOND,
        ),
        (
            "control work: memory added to the process",
            target.CONTROL_MEMORY_BUDGET,
            control_memory,
            Unit.BYTES,
        ),
        (
            "control work: memory, the imported modules included",
            target.CONTROL_MEMORY_BUDGET,
            memory,
            Unit.BYTES,
        ),
        ("one interpreter lock: CPU of the entry and owner roles", 1.0, process, Unit.CORE),
        (
            "one owner per service: CPU of one service",
            1.0,
            owner["of that, one service"],
            Unit.CORE,
        ),
        (
            "value in the configuration service: whole text",
            target.VALUE_BYTES_LIMIT,
            slopes.text_bytes(),
            Unit.BYTES,
        ),
        ("message between hosts: whole text", FRAME_BYTES_LIMIT, slopes.text_bytes(), Unit.BYTES),
        (
            "reads of the platform in an outage",
            target.PLATFORM_READS_LIMIT,
            outage_reads,
            Unit.A_SECOND,
        ),
        (
            "tasks of a host, one thread each",
            MAX_TASKS,
            2 * target.PEERS_A_HOST + MAX_CALLERS,
            Unit.COUNT,
        ),
        (
            "configuration change in force on every host",
            target.CHANGE_SECONDS,
            change,
            Unit.SECONDS,
        ),
    ]
    rows = [
        [what, format_measure(allowed, unit), format_measure(value, unit), verdict(value / allowed)]
        for what, allowed, value, unit in lines
    ]
    return markdown_table(BUDGET_HEADS, rows)


def verdict(ratio: float) -> str:
    """Return how a forecast compares with its budget, from the ratio of the two.

    A coloured mark makes an exceeded budget easy to see.
    """
    if ratio > 1.0:
        return f"🔴 **red: {format_number(ratio)} times the budget**"
    return f"🟡 tight: {ratio:.0%}" if ratio >= TIGHT_RATIO else f"🟢 {ratio:.0%}"


def break_table(slopes: target.Slopes) -> str:
    """Return the table of the size or rate at which each limit of the design is reached."""
    searchers_in_value = (
        target.VALUE_BYTES_LIMIT - slopes.value_at("text_bytes", 0)
    ) / slopes.slope("text_bytes")
    searchers_in_frame = (FRAME_BYTES_LIMIT - slopes.value_at("text_bytes", 0)) / slopes.slope(
        "text_bytes"
    )
    sub_queries = MICROS_PER_SECOND / slopes.slope("owner")
    table_seconds_per_host_and_department = (
        slopes.slope("wide_table") / target.HOSTS / MICROS_PER_SECOND
    )
    cpu_seconds_a_day = target.CONTROL_CPU_BUDGET * target.SECONDS_A_DAY
    accepted_searchers = (
        cpu_seconds_a_day / target.CHANGES_A_DAY / slopes.slope("adopt") * MICROS_PER_SECOND
    )
    hosts_by_owner_tables = (
        cpu_seconds_a_day
        / (target.OWNER_TABLES_A_DAY + target.CHANGES_A_DAY)
        / table_seconds_per_host_and_department
        / target.DEPARTMENTS
    )
    links_by_tasks = (MAX_TASKS - MAX_CALLERS) // 2
    hosts_in_list = target.CONTROL_BYTES_BUDGET / 0.5 / slopes.slope("host_list_bytes")
    kept_links = target.CONTROL_BYTES_BUDGET / slopes.value_at("heartbeat_bytes", 0)
    rows = [
        ["1 MB value that holds the text", f"{format_number(searchers_in_value)} searchers"],
        ["4 MB message that holds the text", f"{format_number(searchers_in_frame)} searchers"],
        [
            "2,000 reads/s in an outage",
            f"{format_number(target.PLATFORM_READS_LIMIT / OUTAGE_READS_PER_HOST)} hosts",
        ],
        ["4,096 tasks, two per peer", f"{format_number(links_by_tasks)} hosts"],
        [
            "interpreter lock, sub-queries of all services on a host",
            f"{format_number(sub_queries)} a second",
        ],
        ["interpreter lock, sub-queries of one service", f"{format_number(sub_queries)} a second"],
        [
            "2.9 % of a core for accepting 13,000 changes a day",
            f"{format_number(accepted_searchers)} searchers",
        ],
        [
            f"2.9 % of a core for owner tables, {target.DEPARTMENTS} departments",
            f"{format_number(hosts_by_owner_tables)} hosts",
        ],
        [
            "3 KB/s for a watcher's read of the host list every 2 s",
            f"{format_number(hosts_in_list)} hosts",
        ],
        ["3 KB/s for heartbeats that keep links open", f"{format_number(kept_links)} links"],
    ]
    return markdown_table(["limit", "reached at"], rows)


def failure_table(slopes: target.Slopes) -> str:
    """Return the table of what failures, replacements and network partitions cost one host."""
    table_seconds = slopes.table_seconds()
    rows = []
    for what, changes in (
        ("a day's 140 failures; each host returns", 2 * target.FAILURES_A_DAY),
        ("a day's 1,400 replacements; each host returns", 2 * target.REPLACEMENTS_A_DAY),
        ("a lost failure domain", target.DOMAIN_HOSTS),
        ("a region cut off, for a host inside it", target.HOSTS - target.REGION_HOSTS),
        ("a region cut off, for a host outside it", target.REGION_HOSTS),
    ):
        batches = ceil(changes / MAX_UPDATES_PER_MESSAGE)
        rows.append(
            [
                what,
                format_number(changes),
                format_measure(
                    changes * target.SENDS_PER_UPDATE * slopes.slope("heartbeat_bytes"), Unit.BYTES
                ),
                format_measure(batches * table_seconds, Unit.SECONDS),
                format_measure(changes * table_seconds, Unit.SECONDS),
            ]
        )
    heads = [
        "event",
        "departures and returns of hosts",
        "bytes of membership updates sent by a host",
        "CPU of owner tables, 20 updates per message",
        "the same, one update per message",
    ]
    return markdown_table(heads, rows)


def derived_table() -> str:
    """Return the table of the loads and sizes that follow from the target for one host."""
    rows = [
        [
            "services",
            f"{target.SEARCHERS:,} searchers / {target.SEARCHERS_A_SERVICE}",
            format_number(target.SERVICES),
        ],
        [
            "departments",
            f"{target.SEARCHERS:,} / {target.TODAY_SEARCHERS} × {target.TODAY_DEPARTMENTS},"
            " as in the deployment kerala",
            format_number(target.DEPARTMENTS),
        ],
        [
            "queries per host",
            f"{target.QUERIES_A_SECOND:,} / {target.HOSTS:,}",
            f"{target.QUERIES_A_HOST:.0f}/s",
        ],
        ["sub-queries per host", f"× {target.FAN_OUT}", f"{target.SUB_QUERIES_A_HOST:,.0f}/s"],
        [
            "owners of one query",
            f"{target.FAN_OUT} / 3 services per owner",
            format_number(target.OWNERS_A_QUERY),
        ],
        [
            "asks (messages to owners) per host",
            f"× {target.OWNERS_A_QUERY}",
            f"{target.ASKS_A_HOST:,.0f}/s",
        ],
        [
            "services owned per host",
            f"{target.SERVICES:,} / {target.HOSTS:,}",
            format_number(target.SERVICES_A_HOST),
        ],
        [
            "sub-queries per service",
            "all sub-queries / services",
            f"{target.SUB_QUERIES_A_SERVICE:,.0f}/s",
        ],
        [
            "sub-queries per searcher",
            "all sub-queries / searchers",
            f"{target.SUB_QUERIES_A_SEARCHER:,.0f}/s",
        ],
        [
            "configuration changes",
            f"{target.CHANGES_A_DAY:,} / 86,400 s",
            f"{target.CHANGES_A_SECOND:.2f}/s",
        ],
        [
            "hosts per failure domain",
            f"{target.HOSTS:,} / {target.DOMAINS}",
            format_number(target.DOMAIN_HOSTS),
        ],
    ]
    return markdown_table(["quantity", "calculation", "value"], rows)


def latency_table(slopes: target.Slopes) -> str:
    """Return the table that divides the 99th percentile of the latency among a query's steps.

    It also shows the processor time that a step of a host needs on an idle core.
    """
    request_cpu = slopes.value_at("entry", 0) / 1e3
    asks_cpu = (
        target.OWNERS_A_QUERY * slopes.value_at("ask", target.FAN_OUT / target.OWNERS_A_QUERY) / 2e3
    )
    sub_queries_per_owner = target.FAN_OUT / target.OWNERS_A_QUERY
    merge_cpu = target.FAN_OUT * slopes.slope("entry") / 1e3
    owner_cpu = sub_queries_per_owner * slopes.slope("owner") / 1e3
    lines: list[tuple[str, float, float | None]] = [
        ("caller to entry through the load balancer, and back", 4, None),
        ("entry: request read, admitted, answered", 15, request_cpu),
        (f"entry: {target.OWNERS_A_QUERY} asks sent", 5, asks_cpu),
        ("entry to owner and back", 4, None),
        ("owner: wait in the queue", 60, None),
        (
            f"owner: {format_number(sub_queries_per_owner)} sub-queries sent, replies returned",
            5,
            owner_cpu,
        ),
        ("owner to searcher and back", 2, None),
        ("searcher, hedge included", 100, None),
        (f"entry: {target.FAN_OUT} replies merged", 15, merge_cpu),
        ("rest", 20, None),
    ]
    assert sum(line[1] for line in lines) == target.P99_MS
    rows = [
        [what, f"{allowed:.0f} ms", "" if used is None else f"{used:.1f} ms"]
        for what, allowed, used in lines
    ]
    rows.append(["**sum**", f"**{target.P99_MS:.0f} ms**", ""])
    return markdown_table(["step", "allowance (plan)", "CPU on an idle core"], rows)


def check_table(slopes: target.Slopes) -> str:
    """Return the table that compares the forecast for a busy fleet with what it used."""
    idle, busy = slopes.figures["fleets"]["kerala idle"], slopes.figures["fleets"]["kerala busy"]
    fan_out = DEPLOYMENTS["kerala"].fan_out
    rate = sum(BUSY_RATES.values()) / busy["hosts"]
    query = slopes.value_at("entry", fan_out) + fan_out * slopes.slope("owner")
    forecast = idle["all_cpu"] + rate * query / MICROS_PER_SECOND
    measured = busy["all_cpu"]
    row = [
        f"{format_number(rate)} queries/s × {format_number(query)} µs + idle {idle['all_cpu']:.1%}",
        format_measure(forecast, Unit.CORE),
        format_measure(measured, Unit.CORE),
        format_number(measured / forecast),
    ]
    return markdown_table(
        ["calculation from the slopes", "forecast", "measured", "measured / forecast"], [row]
    )
