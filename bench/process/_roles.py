"""What each role of a host holds, sends and computes at the target."""

from masticgate.version import connections_per_owner
from masticgate.version._configuration import Searcher

from . import _target as t
from ._control_roles import MICRO, member_rows, relay_rows, watcher_rows
from ._rows import Factor, Row, State, Unit

HALF = 0.5
"""One end of a message that was measured at both ends."""

SLOTS = 2
KEEP_BEATS = 0.5
"""Heartbeats a second to a host that is no neighbour."""


def entry_rows(s: t.Slopes) -> list[Row]:
    """Return what a host does for its callers."""
    queries = Factor(t.QUERIES_A_HOST, "queries/s")
    subs = Factor(t.SUB_QUERIES_A_HOST, "sub-queries/s")
    asks = Factor(t.ASKS_A_HOST, "asks/s")
    probes = Factor(2 * t.ASKS_A_HOST, "probes and replies/s")
    peers = Factor(t.PEERS, "hosts")
    ask_bytes = s.at("ask_bytes", t.FAN_OUT / t.OWNERS_ASKED)
    return [
        Row(
            "queries in flight",
            (queries, Factor(t.P99_MS / 1000, "s")),
            Unit.COUNT,
            "a task a caller's connection, at most 256",
        ),
        Row(
            "CPU, a query",
            (queries, Factor(s.at("entry", 0), "µs")),
            Unit.CORE,
            "`run_search`, caller's HTTP",
            scale=MICRO,
        ),
        Row(
            "CPU, its sub-queries",
            (subs, Factor(s.slope("entry"), "µs")),
            Unit.CORE,
            "inbox and merge",
            scale=MICRO,
        ),
        Row(
            "CPU, asks to several owners",
            (asks, Factor(s.at("ask", 0), "µs"), Factor(HALF, "of both ends")),
            Unit.CORE,
            "an ask an owner",
            scale=MICRO,
        ),
        Row(
            "bytes of asks",
            (asks, Factor(ask_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "peer links",
        ),
        Row(
            "CPU, signs of life",
            (probes, Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a probe with an ask over a quiet link",
            scale=MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of signs of life",
            (probes, Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "a probe with an ask over a quiet link",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "links out",
            (peers,),
            Unit.COUNT,
            "a task a link, to any host that owns what is asked",
            state=State.PARTLY,
        ),
        Row(
            "memory of links, both ways",
            (peers, Factor(s.slope("link_memory"), "B")),
            Unit.BYTES,
            "a task a link",
            state=State.PARTLY,
        ),
        Row(
            "CPU, heartbeats that keep links",
            (peers, Factor(2 * KEEP_BEATS, "messages/s"), Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "every second heartbeat",
            scale=MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of heartbeats that keep links",
            (peers, Factor(2 * KEEP_BEATS, "messages/s"), Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "every second heartbeat",
            control=True,
            state=State.PARTLY,
        ),
    ]


def owner_rows(s: t.Slopes) -> list[Row]:
    """Return what a host does for the services that it owns."""
    searcher = Searcher("s", "127.0.0.1:1", "d", SLOTS, t.CONNECTION_LIMIT)  # type: ignore[arg-type]
    held = connections_per_owner(searcher, t.HOSTS)
    services = Factor(t.SERVICES_A_HOST, "services")
    connections = Factor(held, "connections")
    searchers = Factor(t.SEARCHERS_A_SERVICE, "searchers")
    subs = Factor(t.SUB_QUERIES_A_HOST, "sub-queries/s")
    reply_bytes = Factor(s.at("reply_bytes", t.HITS), "B")
    searcher_subs = t.SUB_QUERIES_A_SEARCHER
    return [
        Row("services owned", (services,), Unit.COUNT, "rendezvous hashing in two levels"),
        Row(
            "memory of pools",
            (services, Factor(s.slope("pool_memory"), "B")),
            Unit.BYTES,
            "one queue a service",
        ),
        Row(
            "connections to searchers",
            (services, searchers, connections),
            Unit.COUNT,
            "a task a connection",
        ),
        Row(
            "memory of connections",
            (services, searchers, connections, Factor(s.slope("searcher_memory"), "B")),
            Unit.BYTES,
            "a task a connection",
        ),
        Row(
            "CPU, sub-queries",
            (subs, Factor(s.slope("owner"), "µs")),
            Unit.CORE,
            "pool, HTTP to the searcher, reply",
            scale=MICRO,
            state=State.PARTLY,
        ),
        Row(
            "of that, one service",
            (Factor(t.SUB_QUERIES_A_SERVICE, "sub-queries/s"), Factor(s.slope("owner"), "µs")),
            Unit.CORE,
            "one owner a service",
            scale=MICRO,
            state=State.PARTLY,
        ),
        Row("bytes of replies", (subs, reply_bytes), Unit.BYTES_A_SECOND, "a reply a service"),
        Row(
            "longest a sub-query may hold a connection",
            (Factor(held, "connections"), Factor(1 / searcher_subs, "s a sub-query")),
            Unit.MILLIS,
            "`limit / 8` connections an owner",
            scale=1e3,
            state=State.PARTLY,
        ),
        Row(
            "the same with the searcher's whole limit",
            (Factor(t.CONNECTION_LIMIT, "connections"), Factor(1 / searcher_subs, "s a sub-query")),
            Unit.MILLIS,
            "a share that is handed over",
            State.DESIGNED,
            scale=1e3,
        ),
    ]


def all_rows(s: t.Slopes) -> dict[str, list[Row]]:
    """Return the rows of each role."""
    return {
        "entry": entry_rows(s),
        "owner": owner_rows(s),
        "watcher": watcher_rows(s),
        "relay": relay_rows(s),
        "member": member_rows(s),
    }
