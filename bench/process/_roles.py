"""Forecasts what the roles of a host hold, send and compute at the target size.

The roles that serve requests are here; :mod:`._control_roles` has the others. An entry host
receives a caller's query and asks the owners of the services. The owner of a service queues its
sub-queries and sends them to its searchers.
"""

from masticgate.version import connections_per_owner
from masticgate.version._configuration import Searcher

from . import _target as target
from ._control_roles import SECONDS_PER_MICRO, member_rows, relay_rows, watcher_rows
from ._rows import Factor, Row, State, Unit

ONE_END = 0.5
"""The share of one end in the cost of a message, which is measured for both ends together."""

SLOTS = 2
"""The number of requests that a searcher runs at once."""

KEEPALIVES_A_SECOND = 0.5
"""The rate of heartbeats that keep a link open to a host that is not a neighbour."""


def entry_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of a host for its callers' queries."""
    queries = Factor(target.QUERIES_A_HOST, "queries/s")
    sub_queries = Factor(target.SUB_QUERIES_A_HOST, "sub-queries/s")
    asks = Factor(target.ASKS_A_HOST, "asks/s")
    probes = Factor(2 * target.ASKS_A_HOST, "probes and replies/s")
    peers = Factor(target.PEERS_A_HOST, "hosts")
    ask_bytes = slopes.value_at("ask_bytes", target.FAN_OUT / target.OWNERS_A_QUERY)
    return [
        Row(
            "queries in flight",
            (queries, Factor(target.P99_MS / 1000, "s")),
            Unit.COUNT,
            "a task a caller's connection, at most 256",
        ),
        Row(
            "CPU, a query",
            (queries, Factor(slopes.value_at("entry", 0), "µs")),
            Unit.CORE,
            "`run_search`, caller's HTTP",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "CPU, its sub-queries",
            (sub_queries, Factor(slopes.slope("entry"), "µs")),
            Unit.CORE,
            "inbox and merge",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "CPU, asks to several owners",
            (asks, Factor(slopes.value_at("ask", 0), "µs"), Factor(ONE_END, "of both ends")),
            Unit.CORE,
            "an ask an owner",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "bytes of asks",
            (asks, Factor(ask_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "peer links",
        ),
        Row(
            "CPU, signs of life",
            (probes, Factor(slopes.value_at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a probe with an ask over a quiet link",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of signs of life",
            (probes, Factor(slopes.value_at("heartbeat_bytes", 0), "B")),
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
            (peers, Factor(slopes.slope("link_memory"), "B")),
            Unit.BYTES,
            "a task a link",
            state=State.PARTLY,
        ),
        Row(
            "CPU, heartbeats that keep links",
            (
                peers,
                Factor(2 * KEEPALIVES_A_SECOND, "messages/s"),
                Factor(slopes.value_at("heartbeat", 0), "µs"),
            ),
            Unit.CORE,
            "every second heartbeat",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of heartbeats that keep links",
            (
                peers,
                Factor(2 * KEEPALIVES_A_SECOND, "messages/s"),
                Factor(slopes.value_at("heartbeat_bytes", 0), "B"),
            ),
            Unit.BYTES_A_SECOND,
            "every second heartbeat",
            control=True,
            state=State.PARTLY,
        ),
    ]


def owner_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of a host for the services that it owns."""
    searcher = Searcher("s", "127.0.0.1:1", "d", SLOTS, target.CONNECTION_LIMIT)  # type: ignore[arg-type]
    connections_per_searcher = connections_per_owner(searcher, target.HOSTS)
    services = Factor(target.SERVICES_A_HOST, "services")
    connections = Factor(connections_per_searcher, "connections")
    searchers = Factor(target.SEARCHERS_A_SERVICE, "searchers")
    sub_queries = Factor(target.SUB_QUERIES_A_HOST, "sub-queries/s")
    reply_bytes = Factor(slopes.value_at("reply_bytes", target.HITS_A_REPLY), "B")
    sub_queries_per_searcher = target.SUB_QUERIES_A_SEARCHER
    return [
        Row("services owned", (services,), Unit.COUNT, "rendezvous hashing in two levels"),
        Row(
            "memory of pools",
            (services, Factor(slopes.slope("pool_memory"), "B")),
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
            (services, searchers, connections, Factor(slopes.slope("searcher_memory"), "B")),
            Unit.BYTES,
            "a task a connection",
        ),
        Row(
            "CPU, sub-queries",
            (sub_queries, Factor(slopes.slope("owner"), "µs")),
            Unit.CORE,
            "pool, HTTP to the searcher, reply",
            scale=SECONDS_PER_MICRO,
            state=State.PARTLY,
        ),
        Row(
            "of that, one service",
            (
                Factor(target.SUB_QUERIES_A_SERVICE, "sub-queries/s"),
                Factor(slopes.slope("owner"), "µs"),
            ),
            Unit.CORE,
            "one owner a service",
            scale=SECONDS_PER_MICRO,
            state=State.PARTLY,
        ),
        Row(
            "bytes of replies", (sub_queries, reply_bytes), Unit.BYTES_A_SECOND, "a reply a service"
        ),
        Row(
            "longest a sub-query may hold a connection",
            (
                Factor(connections_per_searcher, "connections"),
                Factor(1 / sub_queries_per_searcher, "s a sub-query"),
            ),
            Unit.MILLIS,
            "`limit / 8` connections an owner",
            scale=1e3,
            state=State.PARTLY,
        ),
        Row(
            "the same with the searcher's whole limit",
            (
                Factor(target.CONNECTION_LIMIT, "connections"),
                Factor(1 / sub_queries_per_searcher, "s a sub-query"),
            ),
            Unit.MILLIS,
            "a share that is handed over",
            State.DESIGNED,
            scale=1e3,
        ),
    ]


def all_rows(slopes: target.Slopes) -> dict[str, list[Row]]:
    """Return the rows of every role, by its name."""
    return {
        "entry": entry_rows(slopes),
        "owner": owner_rows(slopes),
        "watcher": watcher_rows(slopes),
        "relay": relay_rows(slopes),
        "member": member_rows(slopes),
    }
