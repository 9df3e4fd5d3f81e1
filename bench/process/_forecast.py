"""The forecast against each budget, the sizes at which things break, and what failures cost."""

from math import ceil, log

from bench.version import DEPLOYMENTS
from masticgate.process._members import MAX_UPDATES_PER_MESSAGE
from masticgate.process._server import MAX_TASKS

from . import _target as t
from ._control_fleet import BUSY_RATES
from ._roles import all_rows
from ._rows import Row, Unit, markdown, measure, number

CALLERS = 256
MILLION = 1e6
FRAME_LIMIT = 4e6
READS_AN_OUTAGE = 3 / 5
NEWS_REST = 0.2
CROSSING = 0.001
ACCESS_HOPS = 3
"""Crossings of the network for one relay: announcement, question, sections."""

DETECTION_SECONDS = 7.0
SCARCE = 0.8
"""From this part of a budget on, a forecast is marked as tight."""

HEADS = ["budget", "allowed", "forecast", "verdict"]


def control_rows(s: t.Slopes, unit: Unit, roles: tuple[str, ...]) -> list[Row]:
    """Return the rows of control of some roles."""
    rows = all_rows(s)
    return [row for role in roles for row in rows[role] if row.control and row.unit is unit]


def control(s: t.Slopes, unit: Unit, *, watcher: bool) -> float:
    """Return the sum of a host's control; bytes are those sent, but for a watcher's reads."""
    roles = ("entry", "relay", "member") + (("watcher",) if watcher else ())
    return sum(row.value for row in control_rows(s, unit, roles))


def relay_hops() -> int:
    """Return the hops from the watchers to the last host, each told by its neighbours."""
    return ceil(log(t.HOSTS / t.WATCHERS, t.NEIGHBOURS)) + 1


def change_lines(s: t.Slopes) -> list[tuple[str, float, float]]:
    """Return each step of a change of configuration: now, and with the table worked out last."""
    adopt, table, accept = s.adopt_seconds(), s.table_seconds(), s.accept_seconds()
    read = s.at("watch", s.text_bytes() / 1000) / MILLION
    hops = relay_hops()
    network = hops * ACCESS_HOPS * CROSSING
    return [
        ("rest of the watch after the value before", NEWS_REST, NEWS_REST),
        ("the watcher reads the text", read, read),
        ("the watcher accepts the text", accept, accept),
        ("the watcher's owner table", table, 0.0),
        (f"{hops} relays accept the delta", hops * adopt, hops * adopt),
        (f"{hops} relays' owner tables", hops * table, table),
        (f"{hops} relays' messages, {ACCESS_HOPS} of 1 ms each", network, network),
    ]


def change_table(s: t.Slopes) -> str:
    """Return the split of the time until a change is in force everywhere."""
    lines = change_lines(s)
    rows = [[what, f"{now:.2f} s", f"{late:.2f} s"] for what, now, late in lines]
    rows.append(
        [
            "**sum, on an idle core**",
            f"**{sum(line[1] for line in lines):.2f} s**",
            f"**{sum(line[2] for line in lines):.2f} s**",
        ]
    )
    return markdown(["step", "today's order", "table worked out after the announcement"], rows)


def budget_table(s: t.Slopes) -> str:
    """Return each budget against its forecast."""
    owner = {row.what: row.value for row in all_rows(s)["owner"]}
    entry = all_rows(s)["entry"]
    process = sum(r.value for r in entry if r.unit is Unit.CORE) + owner["CPU, sub-queries"]
    change = sum(line[1] for line in change_lines(s))
    host, watcher = (control(s, Unit.CORE, watcher=w) for w in (False, True))
    sent, read = (control(s, Unit.BYTES_A_SECOND, watcher=w) for w in (False, True))
    added = control(s, Unit.BYTES, watcher=False)
    memory = s.figures["imports_bytes"] + added
    outage = t.HOSTS * READS_AN_OUTAGE
    lines = [
        ("control: CPU", t.CONTROL_CORE, host, Unit.CORE),
        ("control: CPU of a watcher", t.CONTROL_CORE, watcher, Unit.CORE),
        ("control: bytes sent", t.CONTROL_BYTES, sent, Unit.BYTES_A_SECOND),
        ("control: the same with a watcher's reads", t.CONTROL_BYTES, read, Unit.BYTES_A_SECOND),
        ("control: memory that it adds to a process", t.CONTROL_MEMORY, added, Unit.BYTES),
        ("control: memory, the process itself included", t.CONTROL_MEMORY, memory, Unit.BYTES),
        ("one interpreter lock: CPU of a host", 1.0, process, Unit.CORE),
        ("one owner: CPU of one service", 1.0, owner["of that, one service"], Unit.CORE),
        ("value of the configuration service", t.VALUE_LIMIT, s.text_bytes(), Unit.BYTES),
        ("frame between hosts", FRAME_LIMIT, s.text_bytes(), Unit.BYTES),
        ("reads of the platform in an outage", t.READ_LIMIT, outage, Unit.A_SECOND),
        ("tasks", MAX_TASKS, 2 * t.PEERS + CALLERS, Unit.COUNT),
        ("a change in force everywhere", t.CHANGE_SECONDS, change, Unit.SECONDS),
    ]
    rows = [
        [what, measure(allowed, unit), measure(value, unit), verdict(value / allowed)]
        for what, allowed, value, unit in lines
    ]
    return markdown(HEADS, rows)


def verdict(ratio: float) -> str:
    """Return how a forecast stands to its budget; red lines are plain to see."""
    if ratio > 1.0:
        return f"🔴 **red: {number(ratio)} times the budget**"
    return f"🟡 tight: {ratio:.0%}" if ratio >= SCARCE else f"🟢 {ratio:.0%}"


def break_table(s: t.Slopes) -> str:
    """Return the size at which each part of the present design ends."""
    searchers = (t.VALUE_LIMIT - s.at("text_bytes", 0)) / s.slope("text_bytes")
    framed = (FRAME_LIMIT - s.at("text_bytes", 0)) / s.slope("text_bytes")
    subs = MILLION / s.slope("owner")
    table = s.slope("wide_table") / t.HOSTS / MILLION
    daily = t.CONTROL_CORE * t.DAY
    accepted = daily / t.CHANGES_A_DAY / s.slope("adopt") * MILLION
    square = daily / (t.TABLES_A_DAY + t.CHANGES_A_DAY) / table / t.DEPARTMENTS
    links = (MAX_TASKS - CALLERS) // 2
    listed = t.CONTROL_BYTES / 0.5 / s.slope("host_list_bytes")
    kept = t.CONTROL_BYTES / s.at("heartbeat_bytes", 0)
    rows = [
        ["1 MB value that holds the text", f"{number(searchers)} searchers"],
        ["4 MB frame that holds the text", f"{number(framed)} searchers"],
        ["2,000 reads/s in an outage", f"{number(t.READ_LIMIT / READS_AN_OUTAGE)} hosts"],
        ["4,096 tasks, two a peer", f"{number(links)} hosts"],
        ["interpreter lock, sub-queries of all services on a host", f"{number(subs)} a second"],
        ["interpreter lock, sub-queries of one service", f"{number(subs)} a second"],
        ["2.9 % of a core for accepting 13,000 changes a day", f"{number(accepted)} searchers"],
        [
            f"2.9 % of a core for owner tables, {t.DEPARTMENTS} departments",
            f"{number(square)} hosts",
        ],
        ["3 KB/s for a watcher's host list each 2 s", f"{number(listed)} hosts"],
        ["3 KB/s for heartbeats that keep links", f"{number(kept)} links"],
    ]
    return markdown(["limit", "reached at"], rows)


def failure_table(s: t.Slopes) -> str:
    """Return what failures cost one host."""
    table = s.table_seconds()
    rows = []
    for what, changes in (
        ("a day's 140 failures, each host back", 2 * t.FAILURES_A_DAY),
        ("a day's 1,400 replacements", 2 * t.REPLACEMENTS_A_DAY),
        ("a lost failure domain", t.DOMAIN_HOSTS),
        ("regions split, the smaller side", t.HOSTS - t.REGION_HOSTS),
        ("regions split, the larger side", t.REGION_HOSTS),
    ):
        batches = ceil(changes / MAX_UPDATES_PER_MESSAGE)
        rows.append(
            [
                what,
                number(changes),
                measure(changes * t.TELLINGS * s.slope("heartbeat_bytes"), Unit.BYTES),
                measure(batches * table, Unit.SECONDS),
                measure(changes * table, Unit.SECONDS),
            ]
        )
    heads = [
        "event",
        "hosts that come or go",
        "beliefs a host sends",
        "CPU of owner tables, 20 news a message",
        "the same, one by one",
    ]
    return markdown(heads, rows)


def derived_table() -> str:
    """Return what follows from the target for one host."""
    rows = [
        ["services", f"{t.SEARCHERS:,} searchers / {t.SEARCHERS_A_SERVICE}", number(t.SERVICES)],
        [
            "departments",
            f"{t.SEARCHERS:,} / {t.TODAY_SEARCHERS} × {t.TODAY_DEPARTMENTS}, as in kerala",
            number(t.DEPARTMENTS),
        ],
        ["queries a host", f"{t.QUERIES:,} / {t.HOSTS:,}", f"{t.QUERIES_A_HOST:.0f}/s"],
        ["sub-queries a host", f"× {t.FAN_OUT}", f"{t.SUB_QUERIES_A_HOST:,.0f}/s"],
        ["owners of one query", f"{t.FAN_OUT} / 3 services each", number(t.OWNERS_ASKED)],
        ["asks a host", f"× {t.OWNERS_ASKED}", f"{t.ASKS_A_HOST:,.0f}/s"],
        ["services owned by a host", f"{t.SERVICES:,} / {t.HOSTS:,}", number(t.SERVICES_A_HOST)],
        ["sub-queries a service", "all / services", f"{t.SUB_QUERIES_A_SERVICE:,.0f}/s"],
        ["sub-queries a searcher", "all / searchers", f"{t.SUB_QUERIES_A_SEARCHER:,.0f}/s"],
        ["changes of configuration", f"{t.CHANGES_A_DAY:,} / 86,400 s", f"{t.CHANGES:.2f}/s"],
        ["hosts of a failure domain", f"{t.HOSTS:,} / {t.DOMAINS}", number(t.DOMAIN_HOSTS)],
    ]
    return markdown(["what", "worked out", "figure"], rows)


def latency_table(s: t.Slopes) -> str:
    """Return the split of the 99th percentile, beside the processor time that each step needs."""
    first = s.at("entry", 0) / 1e3
    asks = t.OWNERS_ASKED * s.at("ask", t.FAN_OUT / t.OWNERS_ASKED) / 2e3
    parts = t.FAN_OUT / t.OWNERS_ASKED
    merge = t.FAN_OUT * s.slope("entry") / 1e3
    owner = parts * s.slope("owner") / 1e3
    lines: list[tuple[str, float, float | None]] = [
        ("caller, balancer, entry and back", 4, None),
        ("entry: request read, admitted, answered", 15, first),
        (f"entry: {t.OWNERS_ASKED} asks sent", 5, asks),
        ("entry to owner and back", 4, None),
        ("owner: wait in the queue", 60, None),
        (f"owner: {number(parts)} sub-queries sent and replied", 5, owner),
        ("owner to searcher and back", 2, None),
        ("searcher, hedge included", 100, None),
        (f"entry: {t.FAN_OUT} replies merged", 15, merge),
        ("rest", 20, None),
    ]
    assert sum(line[1] for line in lines) == t.P99_MS
    rows = [
        [what, f"{allowed:.0f} ms", "" if used is None else f"{used:.1f} ms"]
        for what, allowed, used in lines
    ]
    rows.append(["**sum**", f"**{t.P99_MS:.0f} ms**", ""])
    return markdown(["step", "allowance (plan)", "CPU on an idle core"], rows)


def check_table(s: t.Slopes) -> str:
    """Return what the slopes say of the busy fleet beside what was measured there."""
    idle, busy = s.figures["fleets"]["kerala idle"], s.figures["fleets"]["kerala busy"]
    fan_out = DEPLOYMENTS["kerala"].fan_out
    rate = sum(BUSY_RATES.values()) / busy["hosts"]
    query = s.at("entry", fan_out) + fan_out * s.slope("owner")
    forecast = idle["all_cpu"] + rate * query / MILLION
    measured = busy["all_cpu"]
    row = [
        f"{number(rate)} queries/s × {number(query)} µs + idle {idle['all_cpu']:.1%}",
        measure(forecast, Unit.CORE),
        measure(measured, Unit.CORE),
        number(measured / forecast),
    ]
    return markdown(["by the slopes", "forecast", "measured", "measured / forecast"], [row])
