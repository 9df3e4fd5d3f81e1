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
            "one task per caller connection, at most 256",
        ),
        Row(
            "CPU, queries, fixed part",
            (queries, Factor(slopes.value_at("entry", 0), "µs")),
            Unit.CORE,
            "`run_search`, HTTP with the caller",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "CPU, queries, part per sub-query",
            (sub_queries, Factor(slopes.slope("entry"), "µs")),
            Unit.CORE,
            "replies received and merged",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "CPU, asks (messages to owners)",
            (asks, Factor(slopes.value_at("ask", 0), "µs"), Factor(ONE_END, "(one end of two)")),
            Unit.CORE,
            "one ask per owner",
            scale=SECONDS_PER_MICRO,
        ),
        Row(
            "bytes of asks",
            (asks, Factor(ask_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "peer links",
        ),
        Row(
            "CPU, probes of owners",
            (probes, Factor(slopes.value_at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a heartbeat before an ask over a link that was silent",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of probes of owners",
            (probes, Factor(slopes.value_at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "a heartbeat before an ask over a link that was silent",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "outgoing links",
            (peers,),
            Unit.COUNT,
            "one task per link, to each host that owns a service in a query",
            state=State.PARTLY,
        ),
        Row(
            "memory of outgoing and incoming links",
            (peers, Factor(slopes.slope("link_memory"), "B")),
            Unit.BYTES,
            "one task per link",
            state=State.PARTLY,
        ),
        Row(
            "CPU, heartbeats that keep links open",
            (
                peers,
                Factor(2 * KEEPALIVES_A_SECOND, "messages/s"),
                Factor(slopes.value_at("heartbeat", 0), "µs"),
            ),
            Unit.CORE,
            "one in every second round of heartbeats",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of heartbeats that keep links open",
            (
                peers,
                Factor(2 * KEEPALIVES_A_SECOND, "messages/s"),
                Factor(slopes.value_at("heartbeat_bytes", 0), "B"),
            ),
            Unit.BYTES_A_SECOND,
            "one in every second round of heartbeats",
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
            "one queue per service",
        ),
        Row(
            "connections to searchers",
            (services, searchers, connections),
            Unit.COUNT,
            "one task per connection",
        ),
        Row(
            "memory of connections",
            (services, searchers, connections, Factor(slopes.slope("searcher_memory"), "B")),
            Unit.BYTES,
            "one task per connection",
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
            "one owner per service",
            scale=SECONDS_PER_MICRO,
            state=State.PARTLY,
        ),
        Row(
            "bytes of replies",
            (sub_queries, reply_bytes),
            Unit.BYTES_A_SECOND,
            "one reply per service",
        ),
        Row(
            "longest time that a sub-query may use a connection",
            (
                Factor(connections_per_searcher, "connections"),
                Factor(1 / sub_queries_per_searcher, "s per sub-query"),
            ),
            Unit.MILLIS,
            "at most `limit / 8` connections per owner",
            scale=1e3,
            state=State.PARTLY,
        ),
        Row(
            "the same if one owner may use the searcher's whole limit",
            (
                Factor(target.CONNECTION_LIMIT, "connections"),
                Factor(1 / sub_queries_per_searcher, "s per sub-query"),
            ),
            Unit.MILLIS,
            "shares of the limit handed over between owners",
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
