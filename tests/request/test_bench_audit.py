"""The demo's audit of answers reports every kind of incorrect answer."""

import pytest
from bench.request import LoggedSearch, audit_answer

NEEDED = {"a/s0": 1.0, "a/s1": 1.0, "b/s0": 2.0}
LOG = [LoggedSearch("q.1", 1, ("a/s0", "a/s1")), LoggedSearch("other.1", 1, ("b/s0",))]
CORRECT_ANSWER = {
    "query": "q",
    "snapshot": 1,
    "coverage": 0.5,
    "whole": False,
    "missing": [{"service": "b", "shard": "b/s0", "reason": "deadline"}],
    "hits": [{"shard": "a/s0", "document": {"snapshot": 1}}],
}


class TestAudit:
    def test_accepts_correct_answer(self):
        assert audit_answer(CORRECT_ANSWER, NEEDED, LOG) == []

    @pytest.mark.parametrize(
        "incorrect_fields",
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
    def test_reports_incorrect_answer(self, incorrect_fields):
        assert audit_answer({**CORRECT_ANSWER, **incorrect_fields}, NEEDED, LOG)
