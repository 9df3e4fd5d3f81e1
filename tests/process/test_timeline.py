"""The timeline of a host, and the merge of those of hosts whose clocks differ."""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import HostId, ManualClock, Millis
from masticgate.process._timeline import MAX_EVENTS, EventKind, Timeline
from masticgate.process._timeline_merge import merge_events


def new_timeline(host: str, start: float = 0.0) -> Timeline:
    return Timeline(HostId(host), ManualClock(Millis(start)))


class TestTimeline:
    def test_keeps_a_bounded_number_of_events(self):
        timeline = new_timeline("h1")
        for _ in range(MAX_EVENTS + 10):
            timeline.add(EventKind.STARTED, "h1")
        kept = timeline.list_events()
        assert len(kept) == MAX_EVENTS and kept[-1].sequence == MAX_EVENTS + 10


class TestMerge:
    def test_puts_a_cause_before_its_effect_if_the_clock_of_its_host_is_ahead(self):
        fast, slow = new_timeline("fast", 1_000_000.0), new_timeline("slow")
        cause = fast.add(EventKind.TEXT_ACCEPTED, "revision 2")
        slow.record_sequence(HostId("fast"), cause.sequence)
        effect = slow.add(EventKind.TEXT_ACCEPTED, "revision 2")
        assert merge_events([effect, cause]) == [cause, effect]

    def test_orders_independent_events_by_wall_clock(self):
        early, late = new_timeline("b", 10.0), new_timeline("a", 20.0)
        events = [late.add(EventKind.STARTED, "a"), early.add(EventKind.STARTED, "b")]
        assert [event.host for event in merge_events(events)] == ["b", "a"]

    @settings(derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.booleans()), max_size=40))
    def test_agrees_with_the_order_of_each_host_and_with_all_messages(self, steps):
        timelines = [new_timeline(f"h{n}", n * 50.0) for n in range(3)]
        events = []
        for source, target, add in steps:
            if add:
                events.append(timelines[source].add(EventKind.STARTED, "x"))
            else:
                timelines[target].record_sequence(HostId(f"h{source}"), timelines[source].sequence)
        merged = merge_events(reversed(events))
        place = {(e.host, e.sequence): index for index, e in enumerate(merged)}
        assert len(place) == len(events)
        for event in merged:
            for host, sequence in {**event.seen, event.host: event.sequence - 1}.items():
                if sequence > 0:
                    assert place[host, sequence] < place[event.host, event.sequence]
