"""Forecasts what the control roles of a host hold, send and compute at the target size.

A watcher reads the platform, a relay passes configurations on to peers, and a member maintains the
membership of the hosts. Each role is a list of rows whose factors come from the target and from the
measured slopes.
"""

from . import _target as target
from ._rows import Factor, Row, State, Unit

SECONDS_PER_MICRO = 1e-6
HOST_LIST_READS_A_SECOND = 0.5
"""The rate at which a watcher reads the host list."""

KEY_READS_A_SECOND = 0.1
"""The rate of a watcher's reads of its two watched keys, both added up, if nothing changes."""

HEARTBEATS_A_SECOND = 1.0
"""The rate of heartbeats to each neighbour in a large fleet."""

DIGESTS_A_SECOND = 0.25
"""The rate of digests of the usable hosts, each to one neighbour in turn."""


def watcher_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of a watcher of the platform, besides those of every host."""
    changes = Factor(target.CHANGES_A_SECOND, "changes/s")
    text_bytes = slopes.text_bytes()
    list_reads = Factor(HOST_LIST_READS_A_SECOND, "reads/s")
    watchers = Factor(target.WATCHERS, "watchers")
    return [
        Row(
            "watchers",
            (Factor(target.DOMAINS, "domains"), Factor(2, "")),
            Unit.COUNT,
            "`should_watch`",
        ),
        Row(
            "reads of the platform by all",
            (
                watchers,
                Factor(
                    target.CHANGES_A_SECOND + HOST_LIST_READS_A_SECOND + KEY_READS_A_SECOND,
                    "reads/s",
                ),
            ),
            Unit.A_SECOND,
            "long polls, host list each 2 s",
            control=True,
        ),
        Row(
            "reads by all hosts cut off, platform down",
            (Factor(target.HOSTS, "hosts"), Factor(3 / 5, "reads/s")),
            Unit.A_SECOND,
            "`most_outage_reads_per_second`",
            control=True,
        ),
        Row(
            "bytes of the text read",
            (changes, Factor(text_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "one key that holds the whole text",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "bytes of the host list read",
            (list_reads, Factor(slopes.value_at("host_list_bytes", target.HOSTS), "B")),
            Unit.BYTES_A_SECOND,
            "whole list each 2 s",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, text read",
            (changes, Factor(slopes.value_at("watch", text_bytes / 1000), "µs")),
            Unit.CORE,
            "pycurl, pydantic",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, whole text accepted",
            (changes, Factor(slopes.accept_seconds(), "s")),
            Unit.CORE,
            "`accept_text`, sections",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, host list",
            (list_reads, Factor(slopes.value_at("host_list", target.HOSTS), "µs")),
            Unit.CORE,
            "whole list each 2 s",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
    ]


def relay_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of every host to hold, apply and relay configurations."""
    changes = Factor(target.CHANGES_A_SECOND, "changes/s")
    messages = Factor(2 * target.PEERS_A_HOST, "messages")
    return [
        Row(
            "memory of the text",
            (Factor(target.SEARCHERS, "searchers"), Factor(slopes.slope("text_memory"), "B")),
            Unit.BYTES,
            "one configuration and its sections",
            control=True,
        ),
        Row(
            "memory of the owner table",
            (Factor(target.SERVICES, "services"), Factor(slopes.slope("table_memory"), "B")),
            Unit.BYTES,
            "`owner_table`",
            control=True,
        ),
        Row(
            "bytes of deltas, in and as much out",
            (changes, Factor(slopes.value_at("delta_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "the section of a department",
            control=True,
        ),
        Row(
            "bytes of announcements and replies",
            (changes, messages, Factor(slopes.value_at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "a heartbeat over every open link",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, announcements",
            (changes, messages, Factor(slopes.value_at("heartbeat", 0), "µs")),
            Unit.CORE,
            "a heartbeat over every open link",
            scale=SECONDS_PER_MICRO,
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, delta applied and the text accepted",
            (changes, Factor(slopes.apply_seconds(), "s")),
            Unit.CORE,
            "whole text accepted anew",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, owner table after a change",
            (changes, Factor(slopes.table_seconds(), "s")),
            Unit.CORE,
            "whole table worked out anew",
            control=True,
            state=State.PARTLY,
        ),
    ]


def member_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of every host for the membership table."""
    messages = Factor(2 * target.NEIGHBOURS * HEARTBEATS_A_SECOND, "heartbeats and replies/s")
    updates = Factor(
        target.MEMBER_UPDATES_A_DAY / target.SECONDS_A_DAY * target.SENDS_PER_UPDATE, "beliefs/s"
    )
    digest_bytes = slopes.figures["digest_bytes"] - slopes.figures["empty_heartbeat_bytes"]
    return [
        Row(
            "memory of beliefs",
            (Factor(target.HOSTS, "hosts"), Factor(slopes.slope("member_memory"), "B")),
            Unit.BYTES,
            "`Members`",
            control=True,
        ),
        Row(
            "memory of neighbours' links",
            (
                Factor(target.NEIGHBOURS, "links both ways"),
                Factor(slopes.slope("link_memory"), "B"),
            ),
            Unit.BYTES,
            "a task a link",
            control=True,
        ),
        Row(
            "bytes of heartbeats",
            (messages, Factor(slopes.value_at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "8 neighbours, each second",
            control=True,
        ),
        Row(
            "bytes of digests",
            (Factor(DIGESTS_A_SECOND, "a second"), Factor(digest_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "one neighbour in turn",
            control=True,
        ),
        Row(
            "bytes of changed beliefs",
            (updates, Factor(slopes.slope("heartbeat_bytes"), "B")),
            Unit.BYTES_A_SECOND,
            "3 × log2(hosts) tellings a change",
            control=True,
        ),
        Row(
            "CPU, heartbeats",
            (messages, Factor(slopes.value_at("heartbeat", 0), "µs")),
            Unit.CORE,
            "8 neighbours, each second",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, the beat's own work",
            (
                Factor(HEARTBEATS_A_SECOND, "beats/s"),
                Factor(slopes.value_at("beat", target.HOSTS), "µs"),
            ),
            Unit.CORE,
            "roles, beliefs, idle pools",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, the beat's look at each service",
            (
                Factor(HEARTBEATS_A_SECOND, "beats/s"),
                Factor(target.SERVICES, "services"),
                Factor(slopes.slope("wide_beat"), "µs"),
            ),
            Unit.CORE,
            "whole table gone through for idle pools",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, owner table after a host came or went",
            (Factor(target.OWNER_TABLES_A_DAY, "a day"), Factor(slopes.table_seconds(), "s")),
            Unit.CORE,
            "whole table worked out anew",
            scale=1 / target.SECONDS_A_DAY,
            control=True,
            state=State.PARTLY,
        ),
    ]
