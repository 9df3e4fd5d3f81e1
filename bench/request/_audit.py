"""Checks an answer against the shard map and the searchers' own logs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

COVERAGE_TOLERANCE = 2e-6
"""An answer states its coverage rounded down to six figures, which this difference allows for."""


@dataclass(frozen=True, slots=True)
class LoggedSearch:
    """An entry in a searcher's log: the shards that it searched for a query at a snapshot.

    ``query`` is the id of a query, a dot, and the number of snapshots tried so far.
    """

    query: str
    snapshot: int
    shards: tuple[str, ...]


def audit_answer(
    answer: Mapping[str, Any], needed: Mapping[str, float], searched: Iterable[LoggedSearch]
) -> list[str]:
    """Return the problems of ``answer``, or an empty list if it is correct.

    ``needed`` maps each shard that the search needs to its weight, as in the shard map of the
    answer's snapshot. ``searched`` are the entries of the searchers' logs.
    """
    missing = {item["shard"] for item in answer["missing"]}
    covered = set(needed) - missing
    return [
        problem
        for problem in (
            _check_coverage(answer, needed, covered),
            _check_missing(answer, needed, missing),
            _check_searched(answer, covered, searched),
            _check_hits(answer, covered),
        )
        if problem
    ]


def _check_coverage(
    answer: Mapping[str, Any], needed: Mapping[str, float], covered: set[str]
) -> str:
    actual = sum(needed[shard] for shard in covered) / sum(needed.values())
    stated = answer["coverage"]
    if abs(actual - stated) > COVERAGE_TOLERANCE:
        return f"the answer states a coverage of {stated}, but it is {actual}"
    if answer["whole"] != (covered == set(needed)):
        return "the answer states wrongly whether it is whole"
    return ""


def _check_missing(
    answer: Mapping[str, Any], needed: Mapping[str, float], missing: set[str]
) -> str:
    unknown = missing - set(needed)
    if unknown:
        return f"the answer lists shards as missing that it does not need: {sorted(unknown)}"
    unexplained = [item["shard"] for item in answer["missing"] if not item["reason"]]
    return f"the answer gives no reason for missing shards: {unexplained}" if unexplained else ""


def _check_searched(
    answer: Mapping[str, Any], covered: set[str], searched: Iterable[LoggedSearch]
) -> str:
    logged_shards = {
        shard
        for search in searched
        if search.query.startswith(f"{answer['query']}.") and search.snapshot == answer["snapshot"]
        for shard in search.shards
    }
    not_searched = covered - logged_shards
    return f"no searcher searched {sorted(not_searched)}" if not_searched else ""


def _check_hits(answer: Mapping[str, Any], covered: set[str]) -> str:
    for hit in answer["hits"]:
        if hit["shard"] not in covered:
            return f"a hit is from {hit['shard']}, which is not covered"
        if hit["document"]["snapshot"] != answer["snapshot"]:
            return f"a hit is from snapshot {hit['document']['snapshot']}"
    return ""
