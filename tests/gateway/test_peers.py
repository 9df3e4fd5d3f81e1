"""Tests for heartbeats, the naming of gatherers and the state of the other gateways."""

import json
from dataclasses import replace
from threading import Thread
from time import monotonic

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import Address, ManualClock, Millis, ServiceId
from masticgate._ids import FailureDomainId, HostId, RequestId
from masticgate.process.gateway._gatherers import Gatherer, Member
from masticgate.process.gateway._heartbeat_codec import (
    HEARTBEAT_HOST,
    MAX_NAMED_GATHERERS,
    decode_gatherers,
    decode_heartbeat,
    decode_reply,
)
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._membership import (
    HEARTBEAT_INTERVAL,
    MAX_HEARTBEATS,
    Heartbeat,
    Membership,
)
from masticgate.process.gateway._naming import GatherAtPeers, GatherHere, peer_route
from masticgate.process.gateway._peers import Peers
from masticgate.process.gateway._previous_processes import (
    ANSWER_WAIT,
    MAX_REMEMBERED_HOSTS,
    REMEMBERED_FOR,
    PreviousEndQuestion,
    ProcessHistory,
)
from masticgate.process.gateway._process_reports import (
    EndedProcess,
    ProcessReport,
    decode_ended,
    decode_report,
    encode_ended,
    encode_report,
)
from masticgate.process.gateway._replica import ReplicaState
from masticgate.process.gateway._seed_exchange import SeedExchange
from masticgate.process.gateway._usage import ProcessUse, Use
from masticgate.process.gateway.startup import NAMING_LIMIT
from masticgate.request.gateway import Request
from masticgate.version.gateway import PEER_SERVICE, Idempotency, Shards

from .fakes import make_fleet, make_route, make_settings, make_table

OWN = Address("127.0.0.9:1")
OTHER_SEED = Address("127.0.0.8:1")
USE = ProcessUse(
    memory=Use(17_600 * 1_024, 292_968 * 1_024),
    memory_peak=18_000 * 1_024,
    address_space=Use(None, None),
    descriptors=Use(67, 4_096),
    threads=Use(23, None),
)
REPORT = ProcessReport(1_796_532_926_123, False, USE)
TABLE = make_table(make_route(Shards((ServiceId("s1"),), 2, 0.5)))


def make_peers(clock: ManualClock, *, is_seed: bool = True) -> Peers:
    log = EventLog(HostId("g1"), clock)
    seeds = (OWN,) if is_seed else (OTHER_SEED,)
    settings = replace(make_settings(), peer_address=OWN, seeds=seeds)
    return Peers(
        settings,
        make_fleet(clock),
        clock,
        log,
        lambda: TABLE,
        lambda: True,
        lambda: True,
        lambda: REPORT,
    )


def send_heartbeat(peers: Peers, host: str, *, rate: float | None = None, known: str = "") -> dict:
    """Send a heartbeat of a gateway, which can gather queries if it has a ``rate``.

    ``known`` is the digest of the gatherers that it knows.
    """
    number = int(host.removeprefix("g"))
    own = "" if rate is None else f"&peer=127.0.1.{number}:1&domain=z1&rate={rate}&interval=500"
    target = f"/?host={host}{own}&known={known}".encode()
    request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
    return json.loads(peers.handle_heartbeat(request).body)


def record_reply(peers: Peers, reply: dict) -> None:
    """Record a reply of another seed, which is ready."""
    body = json.dumps({"ready": True} | reply).encode()
    peers.record_reply(OTHER_SEED, decode_reply(body, peers.clock.now()))


def report_process(peers: Peers, host: str, started: int, *, stopping: bool = False) -> dict:
    """Send a heartbeat that reports a process and asks for the process before it."""
    report = encode_report(ProcessReport(started, stopping, USE))
    target = f"/?host={host}&process={report}&previous=1".encode()
    request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
    return json.loads(peers.handle_heartbeat(request).body)


def log_lines(peers: Peers, event: str) -> list[dict]:
    return [line for line in map(json.loads, peers.log.queue) if line["event"] == event]


def named_addresses(peers: Peers) -> set[str]:
    return {gatherer.address for gatherer in peers.names.gatherers}


def gatherer_states(peers: Peers) -> dict[str, ReplicaState]:
    known = peers.fleet.services.get(PEER_SERVICE, {})
    return {replica.entry.address: replica.state for replica in known.values()}


class TestNaming:
    def test_seed_names_itself_and_gateways_that_can_gather(self):
        clock = ManualClock()
        peers = make_peers(clock)
        clock.advance(NAMING_LIMIT)
        send_heartbeat(peers, "g2", rate=9.0)
        send_heartbeat(peers, "g3")
        peers.update_gathering()
        assert named_addresses(peers) == {OWN, "127.0.1.2:1"}
        assert send_heartbeat(peers, "g3")["gatherers"] == [[OWN, "z1"], ["127.0.1.2:1", "z1"]]
        assert peers.gathering == GatherHere(is_gatherer=True)

    def test_seed_names_gatherers_only_to_gateways_that_do_not_know_them(self):
        """The load: hundreds of gateways ask three seeds for names that hardly ever change."""
        clock = ManualClock()
        peers = make_peers(clock)
        clock.advance(NAMING_LIMIT)
        peers.update_gathering()
        first = send_heartbeat(peers, "g3")
        assert first["gatherers"] == [[OWN, "z1"]]
        assert "gatherers" not in send_heartbeat(peers, "g3", known=first["digest"])
        send_heartbeat(peers, "g2", rate=9.0)
        peers.update_gathering()
        assert len(send_heartbeat(peers, "g3", known=first["digest"])["gatherers"]) == 2

    def test_reply_without_names_keeps_those_of_the_seed(self):
        peers = make_peers(ManualClock(), is_seed=False)
        names = {"gatherers": [["127.0.1.2:1", "z1"]], "digest": "1f"}
        record_reply(peers, {"members": 58} | names)
        record_reply(peers, {"members": 59})
        peers.update_gathering()
        assert named_addresses(peers) == {"127.0.1.2:1"}
        assert peers.names.digests == {OTHER_SEED: "1f"}

    def test_seed_names_none_right_after_its_start(self):
        clock = ManualClock()
        peers = make_peers(clock)
        clock.advance(Millis(NAMING_LIMIT - 1.0))
        assert send_heartbeat(peers, "g2", rate=9.0)["gatherers"] == []
        peers.update_gathering()
        assert peers.gathering == GatherHere(is_gatherer=False)

    def test_silent_gatherer_is_replaced_after_two_missed_heartbeats_and_still_counted(self):
        clock = ManualClock()
        peers = make_peers(clock)
        clock.advance(NAMING_LIMIT)
        send_heartbeat(peers, "g2", rate=9.0)
        clock.advance(Millis(1_200.0))
        peers.update_gathering()
        assert "127.0.1.2:1" in named_addresses(peers)
        clock.advance(Millis(200.0))
        peers.update_gathering()
        assert named_addresses(peers) == {OWN}
        assert peers.members == 2

    def test_gateway_forwards_to_named_gatherers(self):
        peers = make_peers(ManualClock(), is_seed=False)
        reply = {"members": 58, "gatherers": [["127.0.1.2:1", "z1"], ["127.0.1.3:1", "z2"]]}
        record_reply(peers, reply)
        peers.update_gathering()
        assert peers.gathering == GatherAtPeers()
        assert set(gatherer_states(peers)) == {"127.0.1.2:1", "127.0.1.3:1"}
        record_reply(peers, reply | {"gatherers": [["127.0.1.3:1", "z2"]]})
        assert gatherer_states(peers)["127.0.1.2:1"] is ReplicaState.LEAVING

    def test_gatherers_stay_in_use_while_no_seed_names_any(self):
        peers = make_peers(ManualClock(), is_seed=False)
        record_reply(peers, {"gatherers": [["127.0.1.2:1", "z1"]]})
        peers.names.by_seed.clear()
        peers.update_gathering()
        assert peers.gathering == GatherAtPeers()
        assert gatherer_states(peers) == {"127.0.1.2:1": ReplicaState.ACTIVE}

    def test_full_read_of_the_catalogue_keeps_gatherers(self):
        """Guard against gatherers that count as unlisted, since the platform does not list them."""
        peers = make_peers(ManualClock(), is_seed=False)
        record_reply(peers, {"gatherers": [["127.0.1.2:1", "z1"]]})
        assert peers.fleet.find_unlisted(set()) == set()

    def test_forwarded_query_is_not_idempotent(self):
        assert peer_route(make_route()).kind is Idempotency.NON_IDEMPOTENT


class TestMembers:
    # Guards against a table that grows with each name that any process sends.
    def test_keeps_bounded_number_of_heartbeats_with_bounded_names(self):
        membership = Membership()
        heartbeat = Heartbeat(None, HEARTBEAT_INTERVAL, Millis(0.0))
        for number in range(MAX_HEARTBEATS + 100):
            membership.record(HostId(f"g{number}"), heartbeat)
        later = replace(heartbeat, received_at=Millis(1.0))
        membership.record(HostId("g7"), later)
        assert len(membership.heartbeats) == MAX_HEARTBEATS
        assert membership.heartbeats[HostId("g7")] == later
        membership.heartbeats.clear()
        membership.record(HostId("g" * 4_000), heartbeat)
        member = Member(HostId("g1"), Address("127.0.0.1:1"), FailureDomainId("z" * 4_000), 1.0)
        membership.record(HostId("g1"), replace(heartbeat, member=member))
        assert not membership.heartbeats

    def test_seed_counts_itself_and_gateways_that_send_heartbeats(self):
        peers = make_peers(ManualClock())
        send_heartbeat(peers, "g2")
        assert send_heartbeat(peers, "g3")["members"] == 3
        assert send_heartbeat(peers, "g3")["members"] == 3

    def test_does_not_count_silent_gateway(self):
        clock = ManualClock()
        peers = make_peers(clock)
        send_heartbeat(peers, "g2")
        clock.advance(Millis(6_000.0))
        assert send_heartbeat(peers, "g3")["members"] == 2

    def test_uses_relays_of_own_domain_first_if_there_are_many_gateways(self):
        peers = make_peers(ManualClock(), is_seed=False)
        peers.relay_domains = {Address("127.0.0.2:1"): "z2", Address("127.0.0.3:1"): "z1"}
        peers.members = 6
        assert peers.find_relays() == []
        peers.members = 58
        assert peers.find_relays() == ["127.0.0.3:1", "127.0.0.2:1"]


class TestEndlessNames:
    """Guard against senders that state ever new or very long names and so take all memory."""

    def test_seed_keeps_a_bounded_number_of_heartbeats(self):
        peers = make_peers(ManualClock())
        for number in range(MAX_HEARTBEATS + 100):
            send_heartbeat(peers, f"g{number}")
        assert len(peers.membership.heartbeats) == MAX_HEARTBEATS
        assert any("heartbeat_ignored" in line for line in peers.log.queue)
        assert send_heartbeat(peers, "g7")["members"] == MAX_HEARTBEATS + 1

    @pytest.mark.parametrize("host", ["", "x" * 12_000, "a%0Ab"])
    def test_heartbeat_without_valid_host_is_answered_and_not_kept(self, host):
        peers = make_peers(ManualClock())
        target = f"/?host={host}&peer=127.0.0.1:1&domain=z&rate=1&interval=500".encode()
        request = Request(RequestId(""), b"GET", target, HEARTBEAT_HOST, (), b"", None, Millis(0.0))
        assert json.loads(peers.handle_heartbeat(request).body)["members"] == 1
        assert not peers.membership.heartbeats

    def test_seed_names_a_bounded_number_of_gatherers(self):
        """Guard against one gatherer for each domain that a heartbeat states."""
        clock = ManualClock()
        peers = make_peers(clock)
        clock.advance(NAMING_LIMIT)
        for number in range(1_200):
            member = Member(HostId(f"h{number}"), Address(f"127.0.1.1:{number + 1}"),
                            FailureDomainId(f"z{number}"), 1.0)  # fmt: skip
            peers.membership.record(member.host, Heartbeat(member, Millis(500.0), clock.now()))
        peers.update_gathering()
        assert len(peers.names.gatherers) == MAX_NAMED_GATHERERS

    def test_long_names_of_a_seed_are_not_kept(self):
        """Guard against heartbeats that a seed refuses, since they repeat its long digest."""
        peers = make_peers(ManualClock(), is_seed=False)
        long = "x" * 100_000
        named = [["127.0.1.2:1", long], ["127.0.1.3:1", "z1"]]
        reply = {"members": 58, "relays": True, "domain": long, "gatherers": named, "digest": long}
        record_reply(peers, reply)
        assert named_addresses(peers) == {"127.0.1.3:1"}
        assert peers.names.digests == {OTHER_SEED: ""} and not peers.relay_domains


class TestEnds:
    def test_seed_tells_restarted_gateway_of_its_process_before(self):
        clock = ManualClock()
        peers = make_peers(clock)
        assert report_process(peers, "g2", 7)["previous"] is None
        clock.advance(Millis(60_000.0))
        report, heard_ms_ago = report_process(peers, "g2", 8)["previous"]
        assert decode_report(report) == ProcessReport(7, False, USE)
        assert heard_ms_ago == 60_000
        assert "previous" not in send_heartbeat(peers, "g2")

    def test_seed_logs_and_counts_restart_after_end_that_nobody_announced(self):
        """Guard against an end without any line in the logs of the whole system (FAULT)."""
        peers = make_peers(ManualClock())
        for started in (7, 7, 8, 8):
            report_process(peers, "g2", started)
        (line,) = log_lines(peers, "restart_unannounced")
        assert (line["gateway"], line["started_wall_ms"], line["stopping"]) == ("g2", 7, False)
        assert line["memory_bytes"] == USE.memory.used and line["descriptors"] == 67
        assert peers.fleet.metrics.counters["restarts_unannounced"] == 1

    def test_restart_after_announced_stop_is_none_to_report(self):
        peers = make_peers(ManualClock())
        report_process(peers, "g2", 7)
        report_process(peers, "g2", 7, stopping=True)
        report_process(peers, "g2", 8)
        assert not log_lines(peers, "restart_unannounced")

    def test_late_heartbeat_of_process_before_is_ignored(self):
        peers = make_peers(ManualClock())
        for started in (7, 8, 7, 8):
            report_process(peers, "g2", started)
        assert len(log_lines(peers, "restart_unannounced")) == 1

    def test_ended_process_is_forgotten_after_a_while(self):
        clock = ManualClock()
        peers = make_peers(clock)
        report_process(peers, "g2", 7)
        clock.advance(Millis(REMEMBERED_FOR + 1.0))
        assert report_process(peers, "g2", 8)["previous"] is None

    def test_number_of_remembered_hosts_is_bounded(self):
        memory = ProcessHistory()
        for number in range(MAX_REMEMBERED_HOSTS + 10):
            memory.record(HostId(f"g{number}"), REPORT, Millis(0.0))
        assert len(memory.hosts) == MAX_REMEMBERED_HOSTS
        assert HostId("g9") not in memory.hosts and HostId("g10") in memory.hosts

    def test_gateway_of_earlier_release_reports_no_process(self):
        peers = make_peers(ManualClock())
        send_heartbeat(peers, "g2", rate=9.0)
        assert not peers.processes.hosts

    def test_seeds_hear_of_stop_before_next_heartbeat_is_due(self):
        """Guard against a stop that ends before a heartbeat of every 5 s has announced it."""
        peers = make_peers(ManualClock())
        exchange = peers.exchanges[OTHER_SEED] = SeedExchange(OTHER_SEED, peers, peers.clock)
        wait = Thread(target=exchange.wait, args=(Millis(60_000.0),), daemon=True)
        wait.start()
        peers.hurry()
        wait.join(10)
        assert not wait.is_alive()
        started_at = monotonic()
        exchange.wait(Millis(50.0))
        assert monotonic() - started_at >= 0.05

    def test_starting_gateway_logs_once_what_its_seeds_know(self):
        clock = ManualClock()
        peers = make_peers(clock, is_seed=False)
        peers.log_previous_end()
        assert not log_lines(peers, "previous_end")
        clock.advance(Millis(2_000.0))
        peers.previous_end.record(OTHER_SEED, EndedProcess(REPORT, Millis(500.0)))
        for _ in range(2):
            peers.log_previous_end()
        (line,) = log_lines(peers, "previous_end")
        assert (line["known"], line["seeds_answered"], line["heard_ms_ago"]) == (True, 1, 1_500)
        assert line["started_wall_ms"] == REPORT.started_wall
        assert line["memory_limit_bytes"] == USE.memory.limit

    @pytest.mark.parametrize("release", ["silent", "earlier"])
    def test_nothing_is_known_if_no_seed_tells_in_time(self, release):
        clock = ManualClock()
        peers = make_peers(clock, is_seed=False)
        if release == "earlier":
            record_reply(peers, {"members": 3})
        clock.advance(ANSWER_WAIT)
        peers.log_previous_end()
        (line,) = log_lines(peers, "previous_end")
        assert (line["known"], line["seeds_answered"]) == (False, 0)

    def test_answer_of_seed_that_heard_last_is_taken(self):
        question = PreviousEndQuestion(Millis(0.0))
        seeds = {OWN, OTHER_SEED}
        question.record(OWN, EndedProcess(REPORT, Millis(-9.0)))
        assert question.conclude(seeds, Millis(1.0)) is None
        question.record(OTHER_SEED, EndedProcess(REPORT, Millis(-90.0)))
        assert question.conclude(seeds, Millis(1.0)).ended.heard_at == -9.0
        assert question.conclude(seeds, Millis(1.0)) is None


class TestDecoding:
    def test_report_is_short_and_the_same_after_decoding(self):
        text = encode_report(REPORT)
        assert text == "1796532926123.0.17600.18000.292968.67.4096.23."
        assert decode_report(text) == REPORT
        ended = EndedProcess(REPORT, Millis(100.0))
        assert decode_ended(encode_ended(ended, Millis(300.0)), Millis(300.0)) == ended

    @pytest.mark.parametrize(
        "text",
        ["", "7", "7.2" + "." * 7, "7.0" + ".1" * 8, "-7.0" + "." * 7, f"{'9' * 17}.0.......",
         "7.0.\u0661......", "7.0.......\n", "7" * 200, 7, None, ["7"]],
    )  # fmt: skip
    def test_invalid_report_is_none(self, text):
        assert decode_report(text) is None

    @pytest.mark.parametrize("ago", [-1, 10**9, 1.5, "1", None])
    def test_ended_process_that_was_heard_at_no_valid_time_is_none(self, ago):
        assert decode_ended([encode_report(REPORT), ago], Millis(0.0)) is None

    @given(st.recursive(st.none() | st.text() | st.integers(), st.lists, max_leaves=8))
    def test_any_ended_process_is_decoded(self, value):
        decode_ended(value, Millis(0.0))

    @pytest.mark.parametrize(
        "item",
        [["127.0.0.1:99999", "z"], ["host:1", "z"], ["127.0.0.1:\u0661", "z"], ["127.0.0.1:1"], 7],
    )
    def test_leaves_out_invalid_gatherers(self, item):
        assert decode_gatherers([item, ["127.0.0.1:1", "z"]]) == frozenset(
            {Gatherer(Address("127.0.0.1:1"), FailureDomainId("z"))}
        )

    @pytest.mark.parametrize("change", [("rate", "nan"), ("interval", "1e999"), ("peer", "h:1")])
    def test_invalid_heartbeat_states_no_member(self, change):
        query = {"host": ["g2"], "peer": ["127.0.0.1:1"], "domain": ["z1"], "rate": ["9"]}
        query["interval"] = ["500"]
        assert decode_heartbeat(query, Millis(0.0)).member is not None
        query[change[0]] = [change[1]]
        assert decode_heartbeat(query, Millis(0.0)).member is None

    @given(st.dictionaries(st.sampled_from(["host", "peer", "domain", "rate", "interval"]),
                           st.lists(st.text(max_size=30), max_size=2)))  # fmt: skip
    def test_any_query_is_decoded(self, query):
        if all(query.values()):
            decode_heartbeat(query, Millis(0.0))

    @given(st.recursive(st.none() | st.text() | st.integers(), st.lists, max_leaves=8))
    def test_any_reply_is_decoded(self, value):
        decode_gatherers(value)
