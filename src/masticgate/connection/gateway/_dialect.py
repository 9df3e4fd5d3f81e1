"""The header names that a deployment gives to what a gateway and its neighbours say."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header names in lower case; each field says what the header holds.

    ``patience`` holds the milliseconds that the caller still waits, ``load`` the running and
    waiting requests and the slots of a searcher.
    """

    request_id: bytes
    patience: bytes
    stamp: bytes
    expected_searcher: bytes
    load: bytes
    not_run: bytes
    included_stamps: bytes
    missing_shards: bytes
