"""Sections of an accepted text, and the choice of the hosts that watch the platform."""

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import FailureDomainId, HostId, Revision
from masticgate.connection import decode_message, encode_message
from masticgate.version import (
    HEAD_SECTION,
    NO_SECTIONS,
    Section,
    Sections,
    TextPush,
    accept_text,
    rank_hosts,
    should_watch,
    split_sections,
)
from tests.texts import SMALL, example

TEXTS = [SMALL, example("kerala"), example("norte")]
LEAVING = '"work-orders": {"leaving": true, "leaves_on": "2026-12-31"}'


def configuration_of(text: str, revision: int = 1):
    return accept_text(text, Revision(revision)).configuration


def mark_department_leaving(text: str) -> str:
    edited = text.replace('"work-orders": {"leaving": false}', LEAVING)
    assert edited != text
    return edited


class TestSections:
    @pytest.mark.parametrize("text", TEXTS)
    def test_rebuild_the_same_configuration(self, text):
        configuration = configuration_of(text)
        sections = split_sections(configuration)
        rebuilt = configuration_of(sections.to_text())
        assert rebuilt == configuration
        assert split_sections(rebuilt) == sections

    def test_are_independent_of_comments_and_order(self):
        moved = SMALL.replace('"desk": {}, "ledger": {}', '"ledger": {}, /* x */ "desk": {}')
        assert moved != SMALL
        assert split_sections(configuration_of(moved)) == split_sections(configuration_of(SMALL))

    def test_push_contains_only_the_edited_department(self):
        text = example("kerala")
        before = split_sections(configuration_of(text))
        after = split_sections(configuration_of(mark_department_leaving(text), 2))
        push = after.changes_since(Revision(1), before.digests, Revision(2))
        assert [section.id for section in push.changed] == ["work-orders"]
        assert before.apply(push) == after
        whole = encode_message(TextPush(Revision(2), mark_department_leaving(text)))
        assert len(encode_message(push)) * 10 < len(whole)
        assert decode_message(encode_message(push)) == push

    def test_push_removes_section_of_removed_department(self):
        before = split_sections(configuration_of(SMALL))
        after = Sections({id: text for id, text in before.texts.items() if id != "orders"})
        push = after.changes_since(Revision(1), before.digests, Revision(2))
        assert (push.changed, push.removed) == ((), ("orders",))
        assert before.apply(push) == after

    def test_push_is_rejected_with_other_base_or_damaged_section(self):
        before = split_sections(configuration_of(SMALL))
        after = split_sections(configuration_of(SMALL.replace('"slots": 2', '"slots": 3', 1)))
        push = after.changes_since(Revision(1), before.digests, Revision(2))
        assert NO_SECTIONS.apply(push) is None
        damaged = dataclasses.replace(push, changed=(Section(push.changed[0].id, "{}"),))
        assert before.apply(damaged) is None

    @settings(derandomize=True)
    @given(
        st.dictionaries(
            st.sampled_from([HEAD_SECTION, "a"]), st.sampled_from(["{", "[]", "{}", "1"])
        )
    )
    def test_invalid_sections_have_no_text(self, texts):
        """Of these sections, only an empty head without any department has a text."""
        assert Sections(texts).to_text() in (None, '{"departments":{},"services":{}}')


class TestWatchers:
    domain = FailureDomainId("north")
    hosts = tuple(HostId(f"h{n}") for n in range(9))

    def watchers(self, reachable, usable=hosts):
        return [h for h in usable if should_watch(h, self.domain, usable, reachable)]

    @pytest.mark.parametrize("count", [1, 2, 3, 9])
    def test_are_two_or_the_only_host(self, count):
        assert len(self.watchers(self.hosts, self.hosts[:count])) == min(2, count)

    def test_are_replaced_if_none_is_reachable(self):
        ranked = rank_hosts(f"watchers:{self.domain}", self.hosts)
        others = self.watchers(ranked[2:])
        assert set(others) == set(ranked[:4])

    def test_are_not_replaced_while_one_is_reachable(self):
        ranked = rank_hosts(f"watchers:{self.domain}", self.hosts)
        assert set(self.watchers(ranked[1:])) == set(ranked[:2])

    def test_include_every_host_that_reaches_no_other(self):
        assert self.watchers(()) == list(self.hosts)
