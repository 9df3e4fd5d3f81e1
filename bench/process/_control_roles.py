"""What the roles of control hold, send and compute at the target: watcher, relay, member."""

from . import _target as t
from ._rows import Factor, Row, State, Unit

MICRO = 1e-6
LIST_READS = 0.5
"""Reads a second of the host list by a watcher."""

POLLS = 0.1
"""Reads a second of both keys by a watcher where nothing changes."""

BEATS = 1.0
DIGESTS = 0.25


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
            (watchers, Factor(t.CHANGES + LIST_READS + POLLS, "reads/s")),
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
            state=State.PARTLY,
        ),
        Row(
            "bytes of the host list read",
            (lists, Factor(s.at("host_list_bytes", t.HOSTS), "B")),
            Unit.BYTES_A_SECOND,
            "whole list each 2 s",
            control=True,
            state=State.PARTLY,
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
            state=State.PARTLY,
        ),
        Row(
            "CPU, host list",
            (lists, Factor(s.at("host_list", t.HOSTS), "µs")),
            Unit.CORE,
            "whole list each 2 s",
            scale=MICRO,
            control=True,
            state=State.PARTLY,
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
            state=State.PARTLY,
        ),
        Row(
            "CPU, announcements",
            (changes, links, Factor(s.at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a heartbeat over every open link",
            scale=MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, delta applied and the text accepted",
            (changes, Factor(s.adopt_seconds(), "s")),
            Unit.CORE,
            "whole text accepted anew",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, owner table after a change",
            (changes, Factor(s.table_seconds(), "s")),
            Unit.CORE,
            "whole table worked out anew",
            control=True,
            state=State.PARTLY,
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
            state=State.PARTLY,
        ),
    ]
