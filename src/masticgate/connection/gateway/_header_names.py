"""The header names that a deployment gives to what a gateway and its neighbours say."""

from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names in lower case; each field says what the header holds.

    ``caller_timeout`` holds the milliseconds that the caller still waits, ``load`` the running and
    waiting requests and the slots of a searcher.
    """

    request_id: bytes
    caller_timeout: bytes
    stamp: bytes
    expected_searcher: bytes
    load: bytes
    not_run: bytes
    included_stamps: bytes
    missing_shards: bytes


CONFIGURATION_VERSION_HEADER = b"x-gateway-version"
"""Between gateways: the version of the configuration to serve a query by."""

NETWORK_TIME_HEADER = b"x-gateway-network-ms"
"""Between gateways: what the ways to and from the caller take of the objective."""

MISSING_SHARDS_HEADER = b"x-gateway-missing"
"""Between gateways: how many shards an answer leaves out."""


def peer_header_names(header_names: HeaderNames) -> HeaderNames:
    """Return the names that gateways use among each other.

    The included stamps stand where a searcher's own stamp does: an answer without any part is no
    success.
    """
    return replace(
        header_names,
        stamp=b"x-gateway-stamps",
        expected_searcher=b"x-gateway-host",
        load=b"x-gateway-load",
        not_run=b"x-gateway-not-run",
        included_stamps=b"x-gateway-stamps",
        missing_shards=MISSING_SHARDS_HEADER,
    )
