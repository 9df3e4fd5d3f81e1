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
            (Factor(target.DOMAINS, "failure domains"), Factor(2, "watchers per domain")),
            Unit.COUNT,
            "`should_watch`",
        ),
        Row(
            "reads of the platform by all watchers",
            (
                watchers,
                Factor(
                    target.CHANGES_A_SECOND + HOST_LIST_READS_A_SECOND + KEY_READS_A_SECOND,
                    "reads/s",
                ),
            ),
            Unit.A_SECOND,
            "long polls, host list every 2 s",
            control=True,
        ),
        Row(
            "reads by all hosts if each is cut off and the platform is down",
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
            "whole list every 2 s",
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
            "`accept_text`, division into sections",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, host list read",
            (list_reads, Factor(slopes.value_at("host_list", target.HOSTS), "µs")),
            Unit.CORE,
            "whole list every 2 s",
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
            "bytes of deltas sent, and as many received",
            (changes, Factor(slopes.value_at("delta_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "the section of one department",
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
            "CPU, announcements and replies",
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
            "whole text accepted again",
            control=True,
            state=State.PARTLY,
        ),
        Row(
            "CPU, owner table after a change",
            (changes, Factor(slopes.table_seconds(), "s")),
            Unit.CORE,
            "whole table computed again",
            control=True,
            state=State.PARTLY,
        ),
    ]


def member_rows(slopes: target.Slopes) -> list[Row]:
    """Return the costs of every host for the membership table."""
    messages = Factor(2 * target.NEIGHBOURS * HEARTBEATS_A_SECOND, "heartbeats and replies/s")
    updates = Factor(
        target.MEMBER_UPDATES_A_DAY / target.SECONDS_A_DAY * target.SENDS_PER_UPDATE, "updates/s"
    )
    digest_bytes = slopes.figures["digest_bytes"] - slopes.figures["empty_heartbeat_bytes"]
    return [
        Row(
            "memory of the membership table",
            (Factor(target.HOSTS, "hosts"), Factor(slopes.slope("member_memory"), "B")),
            Unit.BYTES,
            "`Members`",
            control=True,
        ),
        Row(
            "memory of links to and from neighbours",
            (
                Factor(target.NEIGHBOURS, "links in each direction"),
                Factor(slopes.slope("link_memory"), "B"),
            ),
            Unit.BYTES,
            "one task per link",
            control=True,
        ),
        Row(
            "bytes of heartbeats",
            (messages, Factor(slopes.value_at("heartbeat_bytes", 0), "B")),
            Unit.BYTES_A_SECOND,
            "8 neighbours, every second",
            control=True,
        ),
        Row(
            "bytes of digests",
            (Factor(DIGESTS_A_SECOND, "digests/s"), Factor(digest_bytes, "B")),
            Unit.BYTES_A_SECOND,
            "one neighbour after another",
            control=True,
        ),
        Row(
            "bytes of membership updates",
            (updates, Factor(slopes.slope("heartbeat_bytes"), "B")),
            Unit.BYTES_A_SECOND,
            "each update sent 3 × ceil(log2(hosts + 1)) times",
            control=True,
        ),
        Row(
            "CPU, heartbeats",
            (messages, Factor(slopes.value_at("heartbeat", 0), "µs")),
            Unit.CORE,
            "8 neighbours, every second",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, rounds of heartbeats, without messages",
            (
                Factor(HEARTBEATS_A_SECOND, "rounds/s"),
                Factor(slopes.value_at("beat", target.HOSTS), "µs"),
            ),
            Unit.CORE,
            "watch role, expired membership entries, idle links and pools",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, rounds of heartbeats, part per service",
            (
                Factor(HEARTBEATS_A_SECOND, "rounds/s"),
                Factor(target.SERVICES, "services"),
                Factor(slopes.slope("wide_beat"), "µs"),
            ),
            Unit.CORE,
            "whole owner table read to find idle pools",
            scale=SECONDS_PER_MICRO,
            control=True,
        ),
        Row(
            "CPU, owner table after a host left or returned",
            (
                Factor(target.OWNER_TABLES_A_DAY, "tables a day"),
                Factor(slopes.table_seconds(), "s"),
            ),
            Unit.CORE,
            "whole table computed again",
            scale=1 / target.SECONDS_A_DAY,
            control=True,
            state=State.PARTLY,
        ),
    ]
