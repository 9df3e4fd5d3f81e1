"""What each role of a host holds, sends and computes at the target."""

from masticgate.version import service_connections
from masticgate.version._configuration import Searcher

from . import _target as t
from ._rows import Factor, Row, State, Unit

MICRO = 1e-6
HALF = 0.5
"""One end of a message that was measured at both ends."""

SLOTS = 2
LIST_READS = 0.5
KEEP_BEATS = 0.5
"""Heartbeats a second to a host that is no neighbour."""

BEATS = 1.0
DIGESTS = 0.25


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
        ),
        Row(
            "bytes of signs of life",
            (probes, Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "a probe with an ask over a quiet link",
            control=True,
        ),
        Row(
            "links out", (peers,), Unit.COUNT, "a task a link, to any host that owns what is asked"
        ),
        Row(
            "memory of links, both ways",
            (peers, Factor(s.slope("link_memory"), "B")),
            Unit.BYTES,
            "a task a link",
        ),
        Row(
            "CPU, heartbeats that keep links",
            (peers, Factor(2 * KEEP_BEATS, "messages/s"), Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "every second heartbeat",
            scale=MICRO,
            control=True,
        ),
        Row(
            "bytes of heartbeats that keep links",
            (peers, Factor(2 * KEEP_BEATS, "messages/s"), Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "every second heartbeat",
            control=True,
        ),
    ]


def owner_rows(s: t.Slopes) -> list[Row]:
    """Return what a host does for the services that it owns."""
    searcher = Searcher("s", "127.0.0.1:1", "d", SLOTS, t.CONNECTION_LIMIT)  # type: ignore[arg-type]
    held = service_connections(searcher, t.HOSTS)
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
        ),
        Row(
            "of that, one service",
            (Factor(t.SUB_QUERIES_A_SERVICE, "sub-queries/s"), Factor(s.slope("owner"), "µs")),
            Unit.CORE,
            "one owner a service",
            scale=MICRO,
        ),
        Row("bytes of replies", (subs, reply_bytes), Unit.BYTES_A_SECOND, "a reply a service"),
        Row(
            "longest a sub-query may hold a connection",
            (Factor(held, "connections"), Factor(1 / searcher_subs, "s a sub-query")),
            Unit.MILLIS,
            "`limit / 8` connections an owner",
            scale=1e3,
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


def watcher_rows(s: t.Slopes) -> list[Row]:
    """Return what a watcher of the platform does beyond a member."""
    changes = Factor(t.CHANGES, "changes/s")
    text = s.text_bytes()
    lists = Factor(LIST_READS, "reads/s")
    watchers = Factor(t.WATCHERS, "watchers")
    return [
        Row(
            "watchers", (Factor(t.DOMAINS, "domains"), Factor(2, "")), Unit.COUNT, "`should_watch`"
        ),
        Row(
            "reads of the platform by all",
            (watchers, Factor(t.CHANGES + LIST_READS + 0.1, "reads/s")),
            Unit.A_SECOND,
            "long polls, host list each 2 s",
            control=True,
        ),
        Row(
            "reads by all hosts cut off, platform down",
            (Factor(t.HOSTS, "hosts"), Factor(3 / 5, "reads/s")),
            Unit.A_SECOND,
            "`most_outage_reads_per_second`",
            control=True,
        ),
        Row(
            "bytes of the text read",
            (changes, Factor(text, "B")),
            Unit.BYTES_A_SECOND,
            "one key that holds the whole text",
            control=True,
        ),
        Row(
            "bytes of the host list read",
            (lists, Factor(s.at("host_list_bytes", t.HOSTS), "B")),
            Unit.BYTES_A_SECOND,
            "whole list each 2 s",
            control=True,
        ),
        Row(
            "CPU, text read",
            (changes, Factor(s.at("watch", text / 1000), "µs")),
            Unit.CORE,
            "pycurl, pydantic",
            scale=MICRO,
            control=True,
        ),
        Row(
            "CPU, whole text accepted",
            (changes, Factor(s.accept_seconds(), "s")),
            Unit.CORE,
            "`accept_text`, sections",
            control=True,
        ),
        Row(
            "CPU, host list",
            (lists, Factor(s.at("host_list", t.HOSTS), "µs")),
            Unit.CORE,
            "whole list each 2 s",
            scale=MICRO,
            control=True,
        ),
    ]


def relay_rows(s: t.Slopes) -> list[Row]:
    """Return what every host does with a configuration that peers pass on."""
    changes = Factor(t.CHANGES, "changes/s")
    links = Factor(2 * t.PEERS, "messages")
    return [
        Row(
            "memory of the text",
            (Factor(t.SEARCHERS, "searchers"), Factor(s.slope("text_memory"), "B")),
            Unit.BYTES,
            "one configuration and its sections",
            control=True,
        ),
        Row(
            "memory of the owner table",
            (Factor(t.SERVICES, "services"), Factor(s.slope("table_memory"), "B")),
            Unit.BYTES,
            "`owner_table`",
            control=True,
        ),
        Row(
            "bytes of deltas, in and as much out",
            (changes, Factor(s.at("delta_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "the section of a department",
            control=True,
        ),
        Row(
            "bytes of announcements and replies",
            (changes, links, Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "a heartbeat over every open link",
            control=True,
        ),
        Row(
            "CPU, announcements",
            (changes, links, Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a heartbeat over every open link",
            scale=MICRO,
            control=True,
        ),
        Row(
            "CPU, delta applied and the text accepted",
            (changes, Factor(s.adopt_seconds(), "s")),
            Unit.CORE,
            "whole text accepted anew",
            control=True,
        ),
        Row(
            "CPU, owner table after a change",
            (changes, Factor(s.table_seconds(), "s")),
            Unit.CORE,
            "whole table worked out anew",
            control=True,
        ),
    ]


def member_rows(s: t.Slopes) -> list[Row]:
    """Return what every host does to know the others."""
    messages = Factor(2 * t.NEIGHBOURS * BEATS, "heartbeats and replies/s")
    told = Factor(t.BELIEFS_A_DAY / t.DAY * t.TELLINGS, "beliefs/s")
    digest = s.figures["digest_bytes"] - s.figures["empty_heartbeat_bytes"]
    return [
        Row(
            "memory of beliefs",
            (Factor(t.HOSTS, "hosts"), Factor(s.slope("member_memory"), "B")),
            Unit.BYTES,
            "`Members`",
            control=True,
        ),
        Row(
            "memory of neighbours' links",
            (Factor(t.NEIGHBOURS, "links both ways"), Factor(s.slope("link_memory"), "B")),
            Unit.BYTES,
            "a task a link",
            control=True,
        ),
        Row(
            "bytes of heartbeats",
            (messages, Factor(s.at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "8 neighbours, each second",
            control=True,
        ),
        Row(
            "bytes of digests",
            (Factor(DIGESTS, "a second"), Factor(digest, "B")),
            Unit.BYTES_A_SECOND,
            "one neighbour in turn",
            control=True,
        ),
        Row(
            "bytes of changed beliefs",
            (told, Factor(s.slope("heartbeat_bytes"), "B")),
            Unit.BYTES_A_SECOND,
            "3 × log2(hosts) tellings a change",
            control=True,
        ),
        Row(
            "CPU, heartbeats",
            (messages, Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "8 neighbours, each second",
            scale=MICRO,
            control=True,
        ),
        Row(
            "CPU, the beat's own work",
            (Factor(BEATS, "beats/s"), Factor(s.at("beat", t.HOSTS), "µs")),
            Unit.CORE,
            "roles, beliefs, idle pools",
            scale=MICRO,
            control=True,
        ),
        Row(
            "CPU, the beat's look at each service",
            (
                Factor(BEATS, "beats/s"),
                Factor(t.SERVICES, "services"),
                Factor(s.slope("wide_beat"), "µs"),
            ),
            Unit.CORE,
            "whole table gone through for idle pools",
            scale=MICRO,
            control=True,
        ),
        Row(
            "CPU, owner table after a host came or went",
            (Factor(t.TABLES_A_DAY, "a day"), Factor(s.table_seconds(), "s")),
            Unit.CORE,
            "whole table worked out anew",
            scale=1 / t.DAY,
            control=True,
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
