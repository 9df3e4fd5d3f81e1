"""Guard against calls that go to slow searchers, and against traffic that a pause moves away."""

import json
from urllib.parse import urlencode

import pytest

from masticgate import ManualClock, Millis, SearcherId
from masticgate._ids import RequestId
from masticgate.connection.gateway import Load
from masticgate.connection.gateway._searcher_load import decode_load
from masticgate.process.gateway._heartbeat_codec import HEARTBEAT_HOST
from masticgate.process.gateway._replica import Replica
from masticgate.process.gateway._slow_reports import SlowReports
from masticgate.process.gateway.searchers import (
    AnswerTime,
    ConcurrencyLimit,
    Overdue,
    ReceivedReports,
    Report,
    SlowSearcher,
    Speed,
    SpeedState,
    decode_reports,
    encode_reports,
)
from masticgate.request.gateway import Request

from .fakes import make_entry, make_fleet
from .searcher_models import (
    Estimated,
    FixedWeights,
    Result,
    SmoothedRatio,
    noisy,
    pausing,
    run_model,
    slow_between,
    steady,
)
from .test_peers import make_peers


def heartbeat_reply(peers, **query: str) -> dict:
    """Return the reply of a seed to a heartbeat."""
    target = f"/?{urlencode(query)}".encode()
    request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
    return json.loads(peers.handle_heartbeat(request).body)


SEEDS = range(8)
MAX_HEDGES_PER_S = 3.6
"""One gatherer's share of the repeats for one shard, 36 in 10 s."""


def answer(ratio: float, now: float, latency: float | None = None, queue: float = 0.0):
    taken = 10.0 * ratio if latency is None else latency
    return AnswerTime(ratio, Millis(taken), Millis(now - taken), queue)


def record_late_probe(speed: Speed, now: float) -> None:
    """Send a call at ``now`` that is answered late 90 ms after."""
    speed.record_call(Millis(now))
    speed.record(answer(9.0, now + 90.0), Millis(now + 90.0))


def compare(searchers) -> tuple[Result, Result, Result]:
    """Return the mean results of the three policies over all seeds."""

    def mean(policy) -> Result:
        results = [run_model(policy(), searchers, seed=seed) for seed in SEEDS]
        count = len(results)
        return Result(
            sum(r.in_time for r in results) / count,
            sum(r.away for r in results) / count,
            sum(r.hedges for r in results) // count,
        )

    return mean(FixedWeights), mean(SmoothedRatio), mean(Estimated)


class TestLateAnswers:
    def test_one_late_answer_leaves_searcher_first_choice_as_probe(self):
        speed = Speed()
        record_late_probe(speed, 1_000.0)
        assert speed.state is SpeedState.DOUBTFUL
        assert speed.is_probe_due(Millis(1_090.0))
        assert speed.factor(Millis(1_090.0)) == 1.0

    def test_only_one_call_at_a_time_probes(self):
        speed = Speed()
        record_late_probe(speed, 1_000.0)
        speed.record_call(Millis(1_100.0))
        assert not speed.is_probe_due(Millis(1_101.0))
        assert speed.factor(Millis(1_101.0)) >= 4.0

    def test_late_probe_shows_that_searcher_is_slow(self):
        speed = Speed()
        record_late_probe(speed, 1_000.0)
        record_late_probe(speed, 1_600.0)
        assert speed.is_slow(Millis(1_690.0))
        assert speed.factor(Millis(1_700.0)) >= 4.0

    def test_answers_that_one_pause_delayed_count_once(self):
        """Guards against a pause with several calls in flight that looks like a slow searcher."""
        speed = Speed()
        for latency in (240.0, 180.0, 60.0):
            speed.record(answer(latency / 10.0, 1_000.0, latency), Millis(1_000.0))
        assert speed.state is SpeedState.DOUBTFUL

    def test_answer_later_than_any_pause_shows_that_searcher_is_slow(self):
        speed = Speed()
        speed.record(AnswerTime(9.0, Millis(378.0), Millis(622.0)), Millis(1_000.0))
        assert speed.is_slow(Millis(1_000.0))

    def test_probes_of_slow_searcher_become_rarer_up_to_two_seconds(self):
        speed = Speed()
        now, probes = 0.0, []
        while now < 12_000.0:
            if speed.is_probe_due(Millis(now)) or not probes:
                probes.append(now)
                record_late_probe(speed, now)
            now += 100.0
        gaps = [b - a for a, b in zip(probes, probes[1:], strict=False)]
        assert gaps == sorted(gaps)
        assert gaps[-1] <= 2_200.0

    def test_fast_probe_ends_doubt(self):
        speed = Speed()
        record_late_probe(speed, 1_000.0)
        record_late_probe(speed, 1_600.0)
        speed.record(answer(1.0, 2_300.0), Millis(2_300.0))
        assert not speed.is_doubtful(Millis(2_300.0))
        assert speed.factor(Millis(2_300.0)) == pytest.approx(1.0, abs=0.1)

    def test_queue_explains_late_answer(self):
        """Guards against a burst that makes all searchers look slow, and is hedged at once."""
        speed = Speed()
        speed.record(answer(4.0, 1_000.0, queue=3.0), Millis(1_000.0))
        assert speed.state is SpeedState.USUAL

    def test_overdue_call_and_its_late_answer_count_once(self):
        speed = Speed()
        speed.record(Overdue(2.5, Millis(1_000.0)), Millis(1_025.0))
        assert not speed.is_probe_due(Millis(1_100.0))
        speed.record(AnswerTime(9.0, Millis(90.0), Millis(1_000.0)), Millis(1_090.0))
        assert speed.state is SpeedState.DOUBTFUL
        assert speed.is_probe_due(Millis(1_090.0))


class TestOrdinaryVariation:
    def test_searcher_of_half_the_speed_is_expected_to_take_longer(self):
        speed = Speed()
        for number in range(20):
            speed.record(answer(2.0, 100.0 * number), Millis(100.0 * number))
        assert speed.factor(Millis(1_900.0)) > 1.7

    def test_old_evidence_is_discarded_slowly(self):
        speed = Speed()
        for number in range(20):
            speed.record(answer(2.0, 100.0 * number), Millis(100.0 * number))
        assert 1.4 < speed.factor(Millis(3_900.0)) < 1.8
        assert speed.factor(Millis(30_000.0)) < 1.1

    def test_stated_slowdown_counts_while_it_is_fresh(self):
        speed = Speed()
        speed.record_slowdown(9.0, Millis(1_000.0))
        assert speed.factor(Millis(1_100.0)) == 9.0
        assert speed.factor(Millis(1_400.0)) == 1.0


class TestReports:
    def test_report_counts_only_until_its_age_limit(self):
        """Guards against a wrong report that costs the use of a searcher for long."""
        speed = Speed()
        speed.record(Report(8.0, Millis(5_000.0)), Millis(5_200.0))
        assert speed.factor(Millis(5_300.0)) == 8.0
        assert speed.is_probe_due(Millis(6_500.0))

    def test_own_newer_answer_outweighs_report(self):
        speed = Speed()
        speed.record(answer(1.0, 5_100.0), Millis(5_100.0))
        speed.record(Report(8.0, Millis(5_000.0)), Millis(5_200.0))
        assert not speed.is_doubtful(Millis(5_200.0))

    def test_old_report_is_ignored(self):
        speed = Speed()
        speed.record(Report(8.0, Millis(5_000.0)), Millis(6_600.0))
        assert not speed.is_doubtful(Millis(6_600.0))

    def test_answer_after_report_ends_doubt(self):
        speed = Speed()
        speed.record(Report(8.0, Millis(5_000.0)), Millis(5_200.0))
        speed.record(answer(1.0, 5_300.0), Millis(5_300.0))
        assert not speed.is_doubtful(Millis(5_300.0))


class TestReportCodec:
    def test_decodes_what_it_encodes(self):
        slow = [SlowSearcher(SearcherId("a,b:c"), 8.25, Millis(120.0))]
        assert decode_reports(encode_reports(slow)) == slow

    @pytest.mark.parametrize(
        "text",
        [
            "",
            "x",
            "{}",
            "[1]",
            '[["a",8]]',
            '[["",8,0]]',
            '[["a","8",0]]',
            '[["a",1,0]]',
            '[["a",NaN,0]]',
            '[["a",8,-1]]',
            '[["a",8,1500]]',
            '[["a",8,1e999]]',
            f'[["a",{"9" * 400},0]]',
            "[" * 10_000,
        ],
    )
    def test_leaves_out_invalid_reports(self, text):
        assert decode_reports(text) == []

    def test_valid_report_counts_beside_invalid_one(self):
        assert len(decode_reports('[["a",8,-1],["b",8,0]]')) == 1

    def test_takes_32_reports_of_one_heartbeat(self):
        text = encode_reports(
            [SlowSearcher(SearcherId(f"s{i}"), 8.0, Millis(0.0)) for i in range(100)]
        )
        assert len(decode_reports(text)) == 32


class TestReceivedReports:
    def test_returns_the_latest_64(self):
        received = ReceivedReports()
        slow = [SlowSearcher(SearcherId(f"s{i}"), 8.0, Millis(float(i))) for i in range(100)]
        received.record(slow, Millis(5_000.0))
        assert received.latest(Millis(5_000.0)) == slow[:64]

    def test_drops_old_reports(self):
        received = ReceivedReports()
        received.record([SlowSearcher(SearcherId("a"), 8.0, Millis(0.0))], Millis(5_000.0))
        received.record([], Millis(6_600.0))
        assert not received.reports


class TestSharedReports:
    """Reports that pass from one gatherer through a seed to another one."""

    def make_fleets(self):
        clock = ManualClock(Millis(10_000.0))
        fleets = [make_fleet(clock) for _ in range(3)]
        for fleet in fleets:
            fleet.apply_listing(make_entry("a"))
        return clock, fleets, [SlowReports(fleet) for fleet in fleets]

    def make_slow(self, fleet):
        now = fleet.now()
        fleet.replicas["a"].speed.record(AnswerTime(9.0, Millis(400.0), now), now)

    def test_other_gatherer_learns_of_slow_searcher(self):
        clock, fleets, reports = self.make_fleets()
        self.make_slow(fleets[0])
        reply = reports[1].exchange(reports[0].encode_own())
        reports[2].apply_reply(reply)
        for fleet in fleets:
            assert fleet.replicas["a"].speed.factor(clock.now()) == 9.0

    def test_report_is_not_passed_on_as_own_evidence(self):
        """Guards against gatherers that confirm each other's reports after the recovery."""
        clock, fleets, reports = self.make_fleets()
        self.make_slow(fleets[0])
        reports[2].apply_reply(reports[1].exchange(reports[0].encode_own()))
        assert reports[2].encode_own() == "[]"
        clock.advance(Millis(1_600.0))
        assert reports[1].exchange(reports[2].encode_own()) == []

    @pytest.mark.parametrize("value", [None, 1, "x", [], [["unknown", 8.0, 0]], [["a", 8.0]]])
    def test_ignores_reply_without_usable_reports(self, value):
        clock, fleets, reports = self.make_fleets()
        reports[2].apply_reply(value)
        assert not fleets[2].replicas["a"].speed.is_doubtful(clock.now())


class TestConcurrencyLimit:
    def test_begins_with_slots_and_queue(self):
        assert ConcurrencyLimit(2).value(Millis(0.0)) == 14.0

    def test_refusal_lowers_limit_below_requests_in_progress(self):
        limit = ConcurrencyLimit(2)
        limit.record_refusal(8, Millis(1_000.0))
        assert limit.value(Millis(1_000.0)) == 6.0

    def test_finds_knee_at_half_of_the_slots(self):
        """Guards against a searcher that is filled although it slows down long before."""
        limit, now = ConcurrencyLimit(8), 0.0
        for _ in range(400):
            in_progress = int(limit.value(Millis(now)))
            ratio = (1.0 if in_progress <= 4 else 3.0) * max(1.0, in_progress / 8)
            limit.record_answer(ratio, in_progress, in_progress / 8, Millis(now))
            now += 50.0
        assert 2.0 <= limit.value(Millis(now)) <= 5.5

    def test_single_pause_does_not_lower_limit(self):
        limit = ConcurrencyLimit(2)
        for _ in range(3):
            limit.record_answer(20.0, 3, 1.5, Millis(1_000.0))
        assert limit.value(Millis(1_000.0)) == 14.0

    def test_recovers_without_evidence(self):
        limit = ConcurrencyLimit(2)
        limit.record_refusal(1, Millis(1_000.0))
        assert limit.value(Millis(1_000.0)) == 1.0
        assert limit.value(Millis(31_000.0)) == 14.0

    def test_replica_has_room_below_its_limit(self):
        replica = Replica(make_entry("a"), 8, Millis(0.0))
        replica.limit.record_refusal(4, Millis(0.0))
        replica.in_flight = 2
        assert replica.has_room(Millis(0.0))
        replica.in_flight = 3
        assert not replica.has_room(Millis(0.0))


class TestLoadHeader:
    @pytest.mark.parametrize(
        ("value", "slowdown"),
        [
            (b"3,0,8", 1.0),
            (b"3,0,8,250", 2.5),
            (b"3, 0, 8, 90", 0.9),
            (b"3,0,8,x", 1.0),
            (b"3,0,8,", 1.0),
            (b"3,0,8,0", 1.0),
            (b"3,0,8,-5", 1.0),
            (b"3,0,8,1e3", 1.0),
            (b"3,0,8,99999999", 1.0),
            (b"3,0,8," + b"9" * 5_000, 1.0),
        ],
    )
    def test_invalid_fourth_figure_counts_as_absent(self, value, slowdown):
        assert decode_load(value) == Load(3, 0, 8, slowdown)

    @pytest.mark.parametrize("value", [b"", b"3", b"3,0", b"x,0,8", b"3,0,8.5,100"])
    def test_ignores_header_without_three_figures(self, value):
        assert decode_load(value) is None


class TestModels:
    """The share of calls within the objective, on seeded models of the searchers of one shard."""

    def test_searchers_that_turn_slow(self):
        spans = [(4_000.0, 12_000.0), (20_000.0, 28_000.0)]
        fixed, smoothed, estimated = compare([slow_between(*spans), steady(), steady()])
        assert estimated.in_time > smoothed.in_time > fixed.in_time
        assert 1.0 - estimated.in_time < (1.0 - smoothed.in_time) / 2
        assert estimated.hedges <= MAX_HEDGES_PER_S * 40

    def test_two_of_three_searchers_turn_slow(self):
        slow = slow_between((4_000.0, 12_000.0), (20_000.0, 28_000.0))
        fixed, smoothed, estimated = compare([slow, slow, steady()])
        assert 1.0 - estimated.in_time < 1.0 - smoothed.in_time
        assert estimated.hedges <= MAX_HEDGES_PER_S * 40

    def test_pause_does_not_move_traffic_away(self):
        searchers = [pausing(offset=offset) for offset in (0.0, 2_000.0, 4_000.0)]
        fixed, smoothed, estimated = compare(searchers)
        assert estimated.in_time >= fixed.in_time - 0.01
        assert estimated.away < 0.05

    def test_noise_moves_no_traffic_away(self):
        fixed, smoothed, estimated = compare([noisy, noisy, noisy])
        assert estimated.in_time >= fixed.in_time - 0.01
        assert estimated.away < 0.05
        assert estimated.hedges == 0

    def test_equally_fast_searchers_are_served_as_before(self):
        fixed, smoothed, estimated = compare([steady(), steady(), steady()])
        assert estimated == smoothed == fixed

    def test_searcher_of_half_the_speed_stays_within_the_objective(self):
        fixed, smoothed, estimated = compare([steady(2.0), steady(), steady()])
        assert estimated.in_time >= smoothed.in_time
        assert estimated.hedges == 0


class TestHeartbeats:
    """Reports in the heartbeats between gatherers and seeds."""

    def test_seed_returns_reports_to_gateways_that_gather(self):
        peers = make_peers(ManualClock(Millis(10_000.0)))
        text = encode_reports([SlowSearcher(SearcherId("a"), 8.0, Millis(100.0))])
        assert heartbeat_reply(peers, host="g2", slow=text)["slow"] == [["a", 8.0, 100]]
        assert heartbeat_reply(peers, host="g3", slow="[]")["slow"] == [["a", 8.0, 100]]
        assert "slow" not in heartbeat_reply(peers, host="g4")

    @pytest.mark.parametrize("slow", ["x", "[[1]]", "[" * 5_000])
    def test_invalid_reports_do_not_affect_the_heartbeat(self, slow):
        reply = heartbeat_reply(make_peers(ManualClock(Millis(10_000.0))), host="g2", slow=slow)
        assert (reply["slow"], reply["members"]) == ([], 2)
