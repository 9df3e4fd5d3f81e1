"""The demo's audit of answers: it must find each kind of untruth."""

import pytest
from bench.request import Searched, audit_answer

NEEDED = {"a/s0": 1.0, "a/s1": 1.0, "b/s0": 2.0}
LOG = [Searched("q.1", 1, ("a/s0", "a/s1")), Searched("other.1", 1, ("b/s0",))]
HONEST = {
    "query": "q",
    "snapshot": 1,
    "coverage": 0.5,
    "whole": False,
    "missing": [{"service": "b", "shard": "b/s0", "reason": "deadline"}],
    "hits": [{"shard": "a/s0", "document": {"snapshot": 1}}],
}


class TestAudit:
    def test_accepts_an_honest_answer(self):
        assert audit_answer(HONEST, NEEDED, LOG) == []

    @pytest.mark.parametrize(
        "untruth",
        [
            {"coverage": 0.6},
            {"whole": True},
            {"missing": [], "coverage": 1.0, "whole": True},
            {"missing": [{"service": "b", "shard": "b/s0", "reason": ""}]},
            {"missing": [{"service": "c", "shard": "c/s0", "reason": "deadline"}]},
            {"hits": [{"shard": "b/s0", "document": {"snapshot": 1}}]},
            {"hits": [{"shard": "a/s0", "document": {"snapshot": 2}}]},
            {"snapshot": 2},
        ],
    )
    def test_finds_an_untruth(self, untruth):
        assert audit_answer({**HONEST, **untruth}, NEEDED, LOG)
