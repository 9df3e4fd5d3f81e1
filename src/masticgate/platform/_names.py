"""The header names of the platform."""

from ..connection.gateway import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-masticgate-request-id",
    # The header holds a duration, not a point in time.
    caller_timeout=b"x-masticgate-deadline-ms",
    # A code that authenticates one answer to one request.
    stamp=b"x-masticgate-server-stamp",
    # Names one start of a searcher.
    expected_searcher=b"x-masticgate-expected-instance",
    load=b"x-masticgate-server-load",
    not_run=b"x-masticgate-not-executed",
    included_stamps=b"X-Masticgate-Part-Stamps",
    missing_shards=b"X-Masticgate-Missing-Parts",
)

CONFIGURATION_KEY = "op/config"
SEARCHERS_PREFIX = "servers/"
ALL_KEYS_PREFIX = ""
