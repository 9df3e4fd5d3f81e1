"""Membership: the merge of updates about hosts, failure detection and the host list."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from masticgate import Address, FailureDomainId, HostId, Incarnation, ManualClock, Millis
from masticgate.connection import ListedHost
from masticgate.process import Member, MemberState
from masticgate.process._detector import FailureDetector
from masticgate.process._host_list import MAX_HOST_LIST_LAG, HostList
from masticgate.process._member_rules import choose_neighbours, digest_of, is_usable, supersedes
from masticgate.process._members import DEPARTED_MEMBER_TTL, Members
from masticgate.process._timeline import EventKind, Timeline

INTERVAL = Millis(500.0)


def member(name, state=MemberState.ALIVE, incarnation=1, counter=0, domain="north"):
    address = Address("127.0.0.1:7001")
    failure_domain = FailureDomainId(domain)
    return Member(HostId(name), address, failure_domain, Incarnation(incarnation), state, counter)


def members_of(name, clock=None, count=0):
    """Return the membership table of the host ``name``, which knows ``count`` other hosts."""
    clock = clock or ManualClock()
    own_member = member(name)
    view = Members(own_member, clock, Timeline(own_member.host, clock), lambda changed: None)
    view.merge([member(f"h{n}") for n in range(count)])
    return view


member_updates = st.builds(
    member,
    st.sampled_from(["x", "y"]),
    st.sampled_from(MemberState),
    st.integers(1, 3),
    st.integers(0, 3),
)


class TestMerge:
    @settings(derandomize=True)
    @given(st.lists(member_updates, max_size=8), st.randoms(use_true_random=False))
    def test_result_does_not_depend_on_order_or_repetition(self, updates, random):
        one, other = members_of("a"), members_of("b")
        shuffled = updates * 2
        random.shuffle(shuffled)
        one.merge(updates)
        other.merge(shuffled)
        assert one.get("x") == other.get("x")
        assert one.get("y") == other.get("y")

    @settings(derandomize=True)
    @given(st.lists(member_updates, max_size=12))
    def test_leaving_holds_for_the_rest_of_the_incarnation(self, updates):
        view = members_of("a")
        left = 0
        for update in updates:
            view.merge([update])
            if update.host == "x" and update.state is MemberState.LEAVING:
                left = max(left, update.incarnation)
            now = view.get("x")
            assert now is None or now.incarnation >= left
            assert now is None or now.incarnation > left or now.state is MemberState.LEAVING

    @settings(derandomize=True)
    @given(st.lists(member_updates, max_size=12))
    def test_digest_and_usable_hosts_match_the_entries(self, updates):
        view = members_of("a")
        view.merge(updates)
        listed = view.list_members()
        assert tuple(view.digest) == digest_of(listed)
        assert view.list_usable() == [m.host for m in listed if is_usable(m)]

    def test_later_incarnation_supersedes_a_dead_one_at_once(self):
        assert supersedes(member("x", incarnation=2), member("x", MemberState.DEAD, counter=9))


class TestRefutation:
    def test_host_reported_dead_refutes_it_by_a_higher_counter(self):
        view = members_of("a")
        corrections = view.merge([member("a", MemberState.DEAD, counter=4)])
        assert corrections == (member("a", counter=5),)
        assert supersedes(corrections[0], member("a", MemberState.DEAD, counter=4))

    def test_host_reported_leaving_leaves(self):
        view = members_of("a")
        view.merge([member("a", MemberState.LEAVING)])
        view.merge([member("a", MemberState.DEAD, counter=4)])
        assert view.own_member.state is MemberState.LEAVING
        assert view.list_usable() == []


class TestExpiry:
    def test_old_update_does_not_restore_removed_host(self):
        clock = ManualClock()
        view = members_of("a", clock)
        view.merge([member("x", MemberState.DEAD, counter=2)])
        clock.advance(Millis(DEPARTED_MEMBER_TTL + 1))
        view.remove_expired()
        assert view.get("x") is None
        dead = member("x", MemberState.DEAD, counter=2)
        assert view.merge([member("x", counter=2)]) == (dead,)
        assert view.get("x") is None
        view.merge([member("x", incarnation=2)])
        assert view.get("x") == member("x", incarnation=2)


class TestNeighbours:
    def test_hosts_all_monitor_each_other_if_few(self):
        others = [member(f"h{n}") for n in range(6)]
        assert len(choose_neighbours(member("a"), others)) == 6

    def test_each_host_has_a_bounded_number_of_neighbours_if_many(self):
        """A host monitors the 6 next hosts on the ring of hashed ids, and 2 in other domains."""
        hosts = [member(f"h{n}", domain=f"d{n % 17}") for n in range(400)]
        monitor_counts = {host.host: 0 for host in hosts}
        for own_member in hosts:
            chosen = choose_neighbours(own_member, [h for h in hosts if h is not own_member])
            assert len(chosen) <= 8
            assert any(h.failure_domain != own_member.failure_domain for h in chosen)
            for host in chosen:
                monitor_counts[host.host] += 1
        assert min(monitor_counts.values()) >= 6


class TestFailureDetector:
    def setup_method(self):
        self.clock = ManualClock()
        self.view = members_of("a", self.clock, 2)
        self.last_received_at = {HostId("h0"): Millis(0.0), HostId("h1"): Millis(0.0)}
        self.timeline = Timeline(HostId("a"), self.clock)
        self.detector = FailureDetector(
            self.view, self.last_received_at.get, self.clock, self.timeline
        )
        self.run_intervals(1, ["h0", "h1"])

    def run_intervals(self, times, responsive=()):
        """Check the neighbours ``times`` times; only ``responsive`` hosts send in between."""
        for _ in range(times):
            self.clock.advance(INTERVAL)
            for host in responsive:
                self.last_received_at[host] = self.clock.now()
            monitored = [self.view.get(h) for h in ("h0", "h1")]
            self.detector.check([m for m in monitored if is_usable(m)], INTERVAL)

    def state(self, host):
        return self.view.get(host).state

    def test_silent_host_becomes_suspect_then_dead(self):
        self.run_intervals(3, ["h0"])
        assert self.state("h1") is MemberState.ALIVE
        self.run_intervals(1, ["h0"])
        assert self.state("h1") is MemberState.SUSPECT
        self.run_intervals(5, ["h0"])
        assert (self.state("h0"), self.state("h1")) == (MemberState.ALIVE, MemberState.DEAD)

    def test_suspect_that_refutes_stays_usable_with_a_longer_timeout(self):
        self.run_intervals(4, ["h0"])
        self.view.merge([member("h1", counter=1)])
        self.run_intervals(2, ["h0"])
        assert self.state("h1") is MemberState.ALIVE

    def test_time_without_a_link_does_not_count_as_silence(self):
        del self.last_received_at["h1"]
        self.run_intervals(9, ["h0"])
        self.last_received_at["h1"] = self.clock.now()
        self.run_intervals(3, ["h0"])
        assert self.state("h1") is MemberState.ALIVE

    def test_silence_is_counted_from_the_end_of_a_pause(self):
        self.run_intervals(2, ["h0", "h1"])
        self.clock.advance(Millis(60_000.0))
        self.run_intervals(1)
        assert {self.state("h0"), self.state("h1")} == {MemberState.ALIVE}
        assert [e.kind for e in self.timeline.list_events()] == [EventKind.PAUSED]
        self.run_intervals(4)
        assert self.state("h0") is MemberState.SUSPECT


class TestHostList:
    def setup_method(self):
        self.view = members_of("a", count=1)
        self.host_list = HostList(self.view.get)

    def read(self, leaving, at):
        """Merge a host list read at ``at``, and return the state of its only host."""
        listed = ListedHost(HostId("h0"), Address("127.0.0.1:7001"), FailureDomainId("n"), leaving)
        self.view.merge(self.host_list.to_members([listed], Millis(at)))
        return self.view.get("h0").state

    def test_host_marked_as_leaving_stays_leaving(self):
        assert self.read(False, 0.0) is MemberState.ALIVE
        assert self.read(True, MAX_HOST_LIST_LAG) is MemberState.LEAVING
        assert self.read(False, MAX_HOST_LIST_LAG + 1) is MemberState.LEAVING

    def test_late_leaving_mark_does_not_apply_to_the_restarted_host(self):
        self.read(False, 0.0)
        self.view.merge([member("h0", incarnation=2)])
        assert self.read(True, MAX_HOST_LIST_LAG) is MemberState.ALIVE
        assert self.read(False, 2 * MAX_HOST_LIST_LAG) is MemberState.ALIVE


class MembershipMachine(RuleBasedStateMachine):
    """Three hosts declare states of hosts, and send each other updates, some of which are lost.

    After they have compared digests, their tables must agree on the usable hosts.
    """

    def __init__(self):
        super().__init__()
        self.hosts = [members_of(name) for name in ("a", "b", "c")]
        self.hosts_that_left: set[str] = set()

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2), lost=st.booleans())
    def send_updates(self, sender, receiver, lost):
        updates = self.hosts[sender].next_updates()
        if not lost:
            self.hosts[receiver].merge(updates)

    @rule(host=st.integers(0, 2), about=st.sampled_from("abcxy"), state=st.sampled_from([1, 3]))
    def declare_state(self, host, about, state):
        """Let one host declare the host ``about`` suspect (1) or dead (3)."""
        target = self.hosts[host].get(HostId(about)) or member(about)
        self.hosts[host].declare(target, MemberState(state))

    @rule(host=st.integers(0, 2))
    def leave(self, host):
        self.hosts[host].leave()
        self.hosts_that_left.add(self.hosts[host].own_member.host)

    @rule()
    def compare_digests(self):
        for _ in range(4):
            for one in self.hosts:
                for other in self.hosts:
                    self.exchange(one, other)
        views = {tuple(host.list_usable()) for host in self.hosts}
        assert len(views) == 1
        assert {h.own_member.host for h in self.hosts} - self.hosts_that_left <= set(views.pop())

    def exchange(self, one, other):
        """Compare the digests of two hosts in both directions, as a heartbeat and its reply do."""
        other.merge([one.own_member])
        missing, _ = other.compare_digest(tuple(one.digest))
        other.merge(one.merge(missing))
        missing, _ = one.compare_digest(tuple(other.digest))
        one.merge(other.merge(missing))

    @invariant()
    def own_state_is_alive_or_leaving(self):
        """A host's own state is never suspect or dead; once it has left, it stays leaving."""
        for host in self.hosts:
            assert host.own_member.state in (MemberState.ALIVE, MemberState.LEAVING)
            assert (host.own_member.host in self.hosts_that_left) <= (
                host.own_member.state is MemberState.LEAVING
            )
            assert host.get(host.own_member.host) == host.own_member


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(derandomize=True, max_examples=40, stateful_step_count=20)
