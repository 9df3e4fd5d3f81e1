"""The records in the answers of shards, and how the answers are merged."""

from collections.abc import Iterable, Sequence
from heapq import nlargest
from threading import Lock

RECORD_BYTES = 16
"""Size of one record in a body; a shorter remainder at the end of the body is ignored."""

LARGE_MERGE_BYTES = 65_536
"""Answers that together are larger than this are merged one query at a time."""


class RecordMerger:
    """Merges the records of queries; all tasks of a process share one.

    A merge needs about ten times the memory of its records for a moment. Large ones take turns, so
    that tasks that are interrupted within theirs do not add up.
    """

    def __init__(self) -> None:
        self.turn = Lock()

    def merge(self, bodies: Sequence[bytes], top: int) -> bytes:
        """Return the greatest ``top`` records of all bodies, greatest first."""
        if sum(map(len, bodies)) <= LARGE_MERGE_BYTES:
            return merge_records(bodies, top)
        with self.turn:
            return merge_records(bodies, top)


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest ``top`` records of all bodies, greatest first."""
    records = (
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    )
    return b"".join(nlargest(top, records))
