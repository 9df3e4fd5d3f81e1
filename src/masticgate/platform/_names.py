"""The names that the platform defines: its HTTP headers and the keys of its store."""

from ..connection.gateway import HeaderNames

HEADER_NAMES = HeaderNames(
    request_id=b"x-masticgate-request-id",
    # The header holds a duration, not a point in time.
    caller_timeout=b"x-masticgate-deadline-ms",
    # A code that authenticates the answer to one request.
    stamp=b"x-masticgate-server-stamp",
    # The id of the searcher that the request is meant for; the platform calls it an instance.
    expected_searcher=b"x-masticgate-expected-instance",
    load=b"x-masticgate-server-load",
    not_run=b"x-masticgate-not-executed",
    included_stamps=b"X-Masticgate-Part-Stamps",
    missing_shards=b"X-Masticgate-Missing-Parts",
    leaving=b"server-leaving",
    pause=b"retry-after",
    # The remaining time in milliseconds for which the searcher is cold.
    cold=b"x-masticgate-cold-ms",
)

CONFIGURATION_KEY = "op/config"
SEARCHERS_PREFIX = "servers/"
EVACUATIONS_PREFIX = "op/evacuate/"
"""The prefix of the keys that evacuate a failure domain, whose name follows it."""

STORE_ERA_HEADER = b"store-era"
"""The header of the store's responses with a number that rises when it is restored from a copy."""

ALL_KEYS_PREFIX = ""
