"""Validation of the operators' text, of settings and of the snapshot catalogue."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import Revision
from masticgate.process import InvalidSettings, Settings, check_settings
from masticgate.version import (
    Accepted,
    Document,
    Refused,
    SnapshotCatalogue,
    SyntaxProblem,
    accept_text,
    parse_document,
    read_catalogue,
)
from tests.texts import SMALL, example

DESK_DEPENDENCY = '"depends_on": ["ledger/1"]'
FUZZ_SETTINGS = settings(derandomize=True, deadline=None, max_examples=150)
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=4)
    | st.dictionaries(st.sampled_from(["format", "departments", "desk", "x"]), inner, max_size=4),
    max_leaves=12,
)
TOKENS = ["{", "}", "[", "]", '"', ":", ",", "//", "/*", "*/", "\n", "\\", "\ud800", "1e999", "a"]
JUNK = st.lists(st.sampled_from(TOKENS), max_size=40).map("".join) | st.text(max_size=60)


def problems_of(text: str) -> list[str]:
    outcome = accept_text(text, Revision(1))
    assert isinstance(outcome, Refused)
    return [str(problem) for problem in outcome.problems]


def replace(old: str, new: str) -> str:
    assert old in SMALL
    return SMALL.replace(old, new, 1)


def mutate(text: str, position: float, removed: int, junk: str) -> str:
    start = int(position * len(text))
    return text[:start] + junk + text[start + removed :]


class TestAcceptedText:
    @pytest.mark.parametrize("name", ["kerala", "norte"])
    def test_contains_every_searcher_of_the_examples(self, name):
        outcome = accept_text(example(name), Revision(3))
        assert isinstance(outcome, Accepted)
        searchers = [s for v in outcome.configuration.services.values() for s in v.searchers]
        assert len(searchers) == (108 if name == "kerala" else 106)
        assert outcome.configuration.revision == 3


class TestRefusedText:
    @pytest.mark.parametrize(
        ("text", "line", "words"),
        [
            (replace(DESK_DEPENDENCY, '"depends_on": ["desk/1"]'), 8, "cycle: desk/1 -> desk/1"),
            (replace(DESK_DEPENDENCY, '"depends_on": ["gone"]'), 8, "'desk/1' depends on 'gone'"),
            (replace('"ledger": {}, ', ""), 13, "no department 'ledger'"),
            (replace('"format": 1,', '"format": 1, "format": 1,'), 4, '"format" is given twice'),
            (replace('"slots": 2', '"slots": "2"'), 9, "valid integer"),
            (replace('"slots": 2', '"slots": 0'), 9, "greater than or equal to 1"),
            (replace('"desk": {}', '"desk": {"closing": true}'), 6, "closing: Extra inputs"),
            (replace('"orders": {}}', '"orders": {}'), 25, "delimiter"),
            (replace('"format": 1', '"format": 2'), 4, "this release reads format 1"),
            (replace('"id": "d1b"', '"id": "d1a"'), 11, "'d1a' is already used by 'desk/1'"),
            (replace("127.0.0.1:20003", "127.0.0.1:20001"), 14, "is already used by 'desk/1'"),
            (replace("127.0.0.1:20003", "ledger.example:1"), 14, "Expected 4 octets"),
            (SMALL + "/" * 1_000_000, 1, "longer than 1000000 bytes"),
            ("\n" + "[" * 65 + "]" * 65, 2, "nested deeper than 64 levels"),
            ("[" * 100_000, 1, ""),
            (
                replace('"format": 1,', '"format": 1, "floors": {"standard": 0.5, "bulk": 0.5},'),
                4,
                "the floors sum to 1, more than 0.9",
            ),
        ],
    )
    def test_reports_line_and_cause(self, text, line, words):
        found = problems_of(text)
        assert any(f"line {line}, " in problem and words in problem for problem in found), found

    def test_reports_service_that_depends_on_a_removed_department(self):
        document = parse_document(SMALL).value
        del document["departments"]["ledger"], document["services"]["ledger/1"]
        (problem,) = problems_of(json.dumps(document, indent=1))
        assert "services > desk/1 > depends_on > 0" in problem
        assert "depends on 'ledger/1', which is not in the text" in problem

    def test_reports_every_problem_at_once(self):
        text = replace('"ledger": {}, ', "").replace('["ledger/1"]', '["gone"]')
        assert len(problems_of(text)) == 2


class TestAnyInput:
    """The parsers of published texts return a value and raise nothing, whatever the input."""

    @FUZZ_SETTINGS
    @given(JUNK | VALUES.map(json.dumps))
    def test_text_is_accepted_or_refused(self, text):
        assert isinstance(parse_document(text), Document | SyntaxProblem)
        assert isinstance(accept_text(text, Revision(1)), Accepted | Refused)
        assert isinstance(check_settings(text, "x"), Settings | InvalidSettings)
        assert isinstance(read_catalogue(text), SnapshotCatalogue | None)

    @FUZZ_SETTINGS
    @given(st.floats(0, 0.999), st.integers(0, 30), JUNK)
    def test_damaged_text_has_the_same_result_twice(self, position, removed, junk):
        text = mutate(SMALL, position, removed, junk)
        outcome = accept_text(text, Revision(1))
        assert isinstance(outcome, Accepted | Refused)
        assert outcome == accept_text(text, Revision(1))

    @FUZZ_SETTINGS
    @given(st.recursive(SCALARS, lambda inner: st.lists(inner), max_leaves=5))
    def test_catalogue_with_any_value_is_accepted_or_refused(self, value):
        text = json.dumps({"versions": [{"version": value, "shards": {"a": {"a/1": value}}}]})
        assert isinstance(read_catalogue(text), SnapshotCatalogue | None)


class TestCatalogue:
    def test_lists_newest_snapshot_first(self):
        shards = {"a": {"a/1": 1}}
        text = json.dumps({"versions": [{"version": n, "shards": shards} for n in (3, 5, 4)]})
        assert [s.version for s in read_catalogue(text).snapshots] == [5, 4, 3]

    @pytest.mark.parametrize("weight", ["0", "-1.0", "NaN", "Infinity", "1e999", '"1"', "null"])
    def test_is_refused_with_a_weight_that_is_not_positive(self, weight):
        text = '{"versions": [{"version": 1, "shards": {"a": {"a/1": %s}}}]}'
        assert read_catalogue(text % weight) is None
        assert read_catalogue(text % "0.5") is not None

    def test_is_refused_with_a_duplicate_shard_or_version(self):
        one = '{"version": 1, "shards": {"a": {"a/1": 1.0}}}'
        assert read_catalogue('{"versions": [' + f"{one}, {one}" + "]}") is None
        duplicate = one.replace('"a/1": 1.0', '"a/1": 1.0, "a/1": 2.0')
        assert read_catalogue('{"versions": [' + duplicate + "]}") is None


class TestComments:
    @FUZZ_SETTINGS
    @given(VALUES, st.sampled_from(["// c\n", "/* c */", "//\n//\n", "/* \n */"]))
    def test_do_not_change_values(self, value, comment):
        text = json.dumps(value)
        parsed = parse_document(comment + text + comment)
        assert json.dumps(parsed.value) == text

    def test_are_kept_inside_a_string(self):
        assert parse_document('// a\n["// b /* c */"]').value == ["// b /* c */"]
