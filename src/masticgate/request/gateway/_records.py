"""The records in the answers of shards, and how the answers are merged."""

from collections.abc import Iterable
from heapq import nlargest

RECORD_BYTES = 16
"""Size of one record in a body; a shorter remainder at the end of the body is ignored."""


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest ``top`` records of all bodies, greatest first."""
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(nlargest(top, records))
