"""The names of the HTTP headers that a gateway exchanges with callers and searchers.

A searcher is a server that runs requests of one service. A deployment sets most of the names; those
that only gateways use among each other are fixed.
"""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; each field is named after the content of the header.

    ``caller_timeout`` names the header with the milliseconds that the sender still waits for the
    answer. ``stamp`` names the header by which a searcher authenticates its answer.
    ``expected_searcher`` names the header with the id of the searcher that the request is meant
    for. ``load`` names the header with three numbers: the requests that the searcher is running,
    those that are waiting, and its slots, which is how many it can run at the same time.
    ``not_run`` names the header that marks a request as not run. ``leaving`` names the header by
    which a searcher says that it leaves, and ``pause`` the one by which it asks for a pause.
    ``cold`` names the header with the milliseconds for which the searcher stays cold: it answers
    slowly and tolerates few requests.

    ``included_stamps`` and ``missing_shards`` name the headers of a merged answer with the stamps
    of its parts and the number of shards that are missing from it. ``leaving_searchers`` names the
    header by which a gatherer passes on which searchers leave. An empty name stands for a header
    that is never sent.
    """

    request_id: bytes
    caller_timeout: bytes
    stamp: bytes
    expected_searcher: bytes
    load: bytes
    not_run: bytes
    included_stamps: bytes
    missing_shards: bytes
    leaving: bytes
    pause: bytes
    leaving_searchers: bytes = b""
    cold: bytes = b""


NETWORK_TIME_HEADER = b"x-gateway-network-ms"
"""Between gateways: the estimated network time between the caller and the first gateway.

The time is in milliseconds and covers both directions. It counts towards the latency objective.
"""

PART_HEADER = b"x-gateway-part"
"""Between gateways: the part of a query to gather, with its route."""

MISSING_POSITIONS_HEADER = b"x-gateway-missing-shards"
"""Between gateways: the positions of the shards that are missing, as a number with those bits."""

LEAVING_SEARCHERS_HEADER = b"x-gateway-leaving"
"""Between gateways: the searchers that have said that they leave."""

MISSING_SHARDS_HEADER = b"x-gateway-missing"
"""Between gateways: the number of shards that are missing from an answer."""


def peer_header_names(header_names: HeaderNames) -> HeaderNames:
    """Return the header names that gateways use among each other.

    One header serves as both ``stamp`` and ``included_stamps``, so that an answer without the
    stamp of any part counts as a failure, like a searcher's answer without a stamp.
    """
    return replace(
        header_names,
        stamp=b"x-gateway-stamps",
        expected_searcher=b"x-gateway-host",
        load=b"x-gateway-load",
        not_run=b"x-gateway-not-run",
        included_stamps=b"x-gateway-stamps",
        missing_shards=MISSING_SHARDS_HEADER,
        leaving=b"",
        pause=b"",
        leaving_searchers=LEAVING_SEARCHERS_HEADER,
        cold=b"",
    )
