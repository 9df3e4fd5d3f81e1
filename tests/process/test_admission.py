"""Under overload, queries are refused as a whole, before they are sent to any service.

Each query has a rank, its urgency: urgent, standard or bulk. A floor is the share of a service's
capacity that a rank is guaranteed.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from masticgate import HostId, ManualClock, Millis, NotRun, Rank, Reason, ServiceId
from masticgate.process import RefusedCount, ServicePressure
from masticgate.process._admission import PRESSURE_TTL, AdmissionControl
from masticgate.process._service_load import (
    MIN_REFUSAL_WAIT,
    PoolSample,
    ServiceLoad,
    share_capacity,
)
from masticgate.version import Service

FLOORS = {Rank.URGENT: 0.0, Rank.STANDARD: 0.15, Rank.BULK: 0.1}
RATES = st.floats(min_value=0.0, max_value=1e4)


def services(*names: str) -> list[Service]:
    return [Service(ServiceId(name), "desk", (), (), False) for name in names]


class TestShareCapacity:
    @settings(derandomize=True)
    @given(RATES, RATES, RATES, st.floats(min_value=0.1, max_value=1e4))
    def test_grants_at_most_the_capacity_and_at_least_the_floors(self, u, s, b, capacity):
        demand = {Rank.URGENT: u, Rank.STANDARD: s, Rank.BULK: b}
        shares = share_capacity(capacity, demand, FLOORS)
        granted = {rank: shares[rank] * demand[rank] for rank in Rank}
        assert sum(granted.values()) <= capacity * (1 + 1e-6)
        for rank in Rank:
            assert granted[rank] >= min(demand[rank], FLOORS[rank] * capacity) * (1 - 1e-6)
            assert 0.0 <= shares[rank] <= 1.0

    def test_grants_all_demand_below_capacity(self):
        demand = {Rank.URGENT: 30.0, Rank.STANDARD: 30.0, Rank.BULK: 20.0}
        assert set(share_capacity(100.0, demand, FLOORS).values()) == {1.0}

    def test_flood_of_bulk_work_reduces_only_the_share_of_bulk(self):
        demand = {Rank.URGENT: 30.0, Rank.STANDARD: 20.0, Rank.BULK: 600.0}
        shares = share_capacity(100.0, demand, FLOORS)
        assert (shares[Rank.URGENT], shares[Rank.STANDARD]) == (1.0, 1.0)
        assert abs(shares[Rank.BULK] - 50 / 600) < 1e-9

    def test_flood_of_urgent_work_leaves_other_ranks_their_floors(self):
        demand = {Rank.URGENT: 600.0, Rank.STANDARD: 20.0, Rank.BULK: 20.0}
        shares = share_capacity(100.0, demand, FLOORS)
        assert abs(shares[Rank.URGENT] - 75 / 600) < 1e-9
        assert abs(shares[Rank.STANDARD] - 15 / 20) < 1e-9
        assert abs(shares[Rank.BULK] - 10 / 20) < 1e-9


class TestServiceLoad:
    def test_estimates_capacity_from_completions_under_backlog(self):
        load = ServiceLoad(Millis(0.0))
        for n in range(1, 200):
            load.record_completion(Millis(n * 8.0), slots=4, backlog=True)
        capacity = load.capacity(slots=4)
        assert capacity is not None
        assert abs(capacity - 1 / 8) < 0.001
        assert abs((load.capacity(slots=2) or 0) - 1 / 16) < 0.001

    def test_knows_no_capacity_while_no_work_waits(self):
        load = ServiceLoad(Millis(0.0))
        for n in range(1, 200):
            load.record_completion(Millis(n * 8.0), slots=4, backlog=False)
        assert load.capacity(slots=4) is None


class TestAdmissionControl:
    def test_lowest_share_decides_and_refusal_counts_for_each_service_with_a_report(self):
        control = AdmissionControl(ManualClock())
        reports = [
            ServicePressure(ServiceId("a"), (1.0, 1.0, 0.5)),
            ServicePressure(ServiceId("b"), (1.0, 1.0, 0.2)),
        ]
        control.record_pressure(HostId("h2"), reports)
        needed = services("a", "b", "c")
        assert control.admit(Rank.BULK, 0.1, needed) is None
        assert control.admit(Rank.URGENT, 0.9, needed) is None
        refusal = control.admit(Rank.BULK, 0.3, needed)
        assert isinstance(refusal, NotRun) and refusal.reason is Reason.OVERLOAD
        counted = control.pop_refused()[HostId("h2")]
        assert set(counted) == {
            RefusedCount(ServiceId("a"), Rank.BULK, 1),
            RefusedCount(ServiceId("b"), Rank.BULK, 1),
        }
        assert control.pop_refused() == {}

    def test_ignores_pressure_of_owner_that_became_silent(self):
        clock = ManualClock()
        control = AdmissionControl(clock)
        control.record_pressure(HostId("h2"), [ServicePressure(ServiceId("a"), (0.0, 0.0, 0.0))])
        assert control.admit(Rank.URGENT, 0.5, services("a")) is not None
        clock.advance(Millis(PRESSURE_TTL + 1))
        assert control.admit(Rank.URGENT, 0.5, services("a")) is None


class TestAdmittedRate:
    def overloaded_load(self) -> ServiceLoad:
        """Return the load of a service with five times as much bulk demand as capacity.

        It completes 0.1 searches per millisecond. Its last update was at 20 s.
        """
        load = ServiceLoad(Millis(0.0))
        for n in range(100):
            load.record_arrivals(Rank.BULK, 100)
            for i in range(20):
                load.record_completion(Millis(n * 200.0 + i * 10.0), slots=4, backlog=True)
            load.update(PoolSample(Millis((n + 1) * 200.0), 4, 4, 0, Millis(0.0)))
        return load

    def bulk_share(
        self, load: ServiceLoad, now: float, *, in_flight=4, pending=0, wait=0.0, slots=4
    ) -> float:
        """Update ``load`` at ``now`` with more bulk demand, and return bulk's admitted share."""
        load.record_arrivals(Rank.BULK, 100)
        load.update(PoolSample(Millis(now), slots, in_flight, pending, Millis(wait)))
        return load.shares(FLOORS)[Rank.BULK]

    def refusing_load(self) -> ServiceLoad:
        """Return the overloaded load once work has waited long enough for some to be refused."""
        load = self.overloaded_load()
        assert 0.15 < self.bulk_share(load, 20_200.0, pending=3, wait=MIN_REFUSAL_WAIT) < 0.2
        return load

    def test_everything_is_admitted_until_work_has_waited_for_the_minimum(self):
        assert (
            self.bulk_share(self.overloaded_load(), 20_200.0, pending=3, wait=MIN_REFUSAL_WAIT - 1)
            == 1.0
        )

    def test_idle_slots_double_it_within_fifteen_updates(self):
        load = self.refusing_load()
        shares = [self.bulk_share(load, 20_400.0 + 200.0 * n, in_flight=1) for n in range(15)]
        assert shares[-1] > 2 * shares[0]

    def test_backlog_lowers_it(self):
        load = self.refusing_load()
        shares = [self.bulk_share(load, 20_400.0 + 200.0 * n, pending=20) for n in range(10)]
        assert shares[-1] < 0.7 * shares[0]

    def test_loss_of_half_the_slots_halves_it_at_once(self):
        load = self.refusing_load()
        before = load.admitted_rate
        self.bulk_share(load, 20_400.0, in_flight=2, slots=2)
        assert abs(load.admitted_rate - before / 2) < 0.02 * before

    def test_it_stays_the_same_while_all_demand_is_admitted(self):
        load = self.refusing_load()
        for n in range(200):
            load.update(PoolSample(Millis(20_400.0 + 200.0 * n), 4, 0, 0, Millis(0.0)))
            if min(load.shares(FLOORS).values()) == 1.0:
                break
        rate = load.admitted_rate
        load.update(PoolSample(Millis(60_800.0), 4, 0, 0, Millis(0.0)))
        assert load.admitted_rate == rate

    def test_it_is_unlimited_after_all_demand_was_admitted_for_a_while(self):
        load = self.refusing_load()
        for n in range(100):
            load.update(PoolSample(Millis(20_400.0 + 200.0 * n), 4, 0, 0, Millis(0.0)))
            load.shares(FLOORS)
        assert load.admitted_rate is None

    def test_demand_of_a_flood_is_known_after_one_update(self):
        load = self.overloaded_load()
        load.record_arrivals(Rank.URGENT, 100)
        load.update(PoolSample(Millis(20_200.0), 4, 4, 20, Millis(120.0)))
        assert abs(load.demand[Rank.URGENT] - 0.5) < 0.01
