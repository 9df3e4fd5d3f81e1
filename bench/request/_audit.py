"""Checks one answer against the shard map and the searchers' own logs."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

COVERAGE_TOLERANCE = 2e-6
"""An answer states its coverage rounded down to six figures."""


@dataclass(frozen=True, slots=True)
class LoggedSearch:
    """Shards that a searcher says it searched, for one query, at one snapshot."""

    query: str
    snapshot: int
    shards: tuple[str, ...]


def audit_answer(
    answer: Mapping[str, Any], needed: Mapping[str, float], searched: Iterable[LoggedSearch]
) -> list[str]:
    """Return what is untrue in ``answer``, empty where it is honest.

    ``needed`` has the weight of each shard that the search needs, by the shard map of the
    answer's snapshot.
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
        return f"coverage {stated} is stated, {actual} is true"
    if answer["whole"] != (covered == set(needed)):
        return "the answer is wrong about being whole"
    return ""


def _check_missing(
    answer: Mapping[str, Any], needed: Mapping[str, float], missing: set[str]
) -> str:
    unknown = missing - set(needed)
    if unknown:
        return f"said to be missing, but never needed: {sorted(unknown)}"
    unexplained = [item["shard"] for item in answer["missing"] if not item["reason"]]
    return f"missing without a reason: {unexplained}" if unexplained else ""


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
            return f"a hit of {hit['shard']}, which is not covered"
        if hit["document"]["snapshot"] != answer["snapshot"]:
            return f"a hit of snapshot {hit['document']['snapshot']}"
    return ""
