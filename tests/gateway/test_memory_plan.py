"""Tests of how many bytes and connections a gateway may use, by the limits of its host."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from masticgate.connection.gateway import (
    CALLER_CONNECTION_BYTES,
    CALLER_KERNEL_BYTES,
    SEARCHER_CONNECTION_BYTES,
    SEARCHER_KERNEL_BYTES,
    MemoryUse,
)
from masticgate.process.gateway import HostCapacity
from masticgate.process.gateway._memory_plan import (
    MIN_CONNECTIONS,
    PAGE_TASKS,
    IdleMemory,
    MemoryPlan,
    plan_connections,
    plan_memory,
)
from masticgate.process.gateway._settings import DEFAULT_MEMORY_BYTES

from .fakes import make_route
from .loopback import running_gateway

LIMITS = st.integers(min_value=100_000_000, max_value=4_000_000_000)
IDLE = st.integers(min_value=10_000_000, max_value=60_000_000)
STEPS = st.lists(st.tuples(st.sampled_from(MemoryUse), st.integers(0, 20_000_000)), max_size=60)


def take_all(plan: MemoryPlan, steps) -> dict[MemoryUse, int]:
    """Return what is used after all steps that the plan allows."""
    used = dict.fromkeys(MemoryUse, 0)
    for use, count in steps:
        if plan.allows(use, count, used):
            used[use] += count
    return used


class TestMemoryPlan:
    @given(LIMITS, IDLE, STEPS)
    def test_process_and_all_uses_stay_below_limit(self, limit, idle, steps):
        plan = MemoryPlan(limit, idle)
        assert idle + sum(take_all(plan, steps).values()) < limit

    @given(LIMITS, IDLE, STEPS)
    def test_requests_leave_room_for_answers(self, limit, idle, steps):
        plan = MemoryPlan(limit, idle)
        requests = [(MemoryUse.REQUESTS, count) for _, count in steps]
        used = take_all(plan, requests)
        assert plan.allows(MemoryUse.ANSWERS, plan.room // 4, used)

    @given(LIMITS, IDLE)
    def test_requests_give_way_before_answers(self, limit, idle):
        plan = MemoryPlan(limit, idle)
        used = dict.fromkeys(MemoryUse, 0) | {MemoryUse.ANSWERS: plan.room * 4 // 5}
        assert not plan.allows(MemoryUse.REQUESTS, 1, used)
        assert plan.allows(MemoryUse.ANSWERS, plan.room // 10, used)

    def test_room_remains_where_idle_process_exceeds_limit(self):
        plan = MemoryPlan(20_000_000, 25_000_000)
        assert plan.allows(MemoryUse.REQUESTS, 262_144, dict.fromkeys(MemoryUse, 0))

    def test_unknown_limit_is_the_default(self):
        plan = plan_memory(HostCapacity(1.0, 1_000.0, memory=0), 20_000_000)
        assert plan.limit == DEFAULT_MEMORY_BYTES


class TestReload:
    def test_changed_limits_are_in_force_at_once(self):
        with running_gateway([make_route()], {}) as gateway:
            capacity = HostCapacity(1.0, 1_000.0, 1_000_000_000, 2_000)
            before = gateway.callers.max_connections
            gateway.reload(replace(gateway.settings, capacity=capacity))
            assert gateway.memory.plan.limit == 1_000_000_000
            limits = plan_connections(capacity, 1_048_576)
            assert gateway.callers.max_connections == limits.callers != before
            assert gateway.pool.max_tasks == limits.tasks


class TestIdleMemory:
    def test_subtracts_what_connections_account_for(self):
        used = dict.fromkeys(MemoryUse, 0) | {
            MemoryUse.REQUESTS: 50_000_000,
            MemoryUse.KERNEL: 30_000_000,
        }
        idle = IdleMemory(20_000_000, 20_000_000).measure(90_000_000, used)
        assert idle.now == 40_000_000

    # Otherwise bytes that are accounted for and not received yet would be given away twice.
    def test_is_not_below_last_quiet_measure(self):
        used = dict.fromkeys(MemoryUse, 0) | {MemoryUse.REQUESTS: 50_000_000}
        idle = IdleMemory(20_000_000, 20_000_000).measure(30_000_000, used)
        assert idle.now == 20_000_000

    # Guards against a gateway that refuses requests as long as it has connections, since it was
    # measured while it read the catalogue.
    def test_is_not_above_resident_memory(self):
        used = dict.fromkeys(MemoryUse, 0) | {MemoryUse.SEARCHERS: 5_000_000}
        idle = IdleMemory(90_000_000, 90_000_000).measure(45_000_000, used)
        assert idle.now == 45_000_000

    def test_falls_once_there_are_no_connections(self):
        idle = IdleMemory(40_000_000, 70_000_000).measure(25_000_000, dict.fromkeys(MemoryUse, 0))
        assert idle == IdleMemory(25_000_000, 25_000_000)


class TestConnectionLimits:
    @given(st.integers(0, 2**31), st.integers(0, 70_000), st.integers(1, 2**40))
    def test_connections_of_all_kinds_are_allowed(self, memory, descriptors, system_limit):
        capacity = HostCapacity(1.0, 1_000.0, memory, descriptors)
        limits = plan_connections(capacity, system_limit)
        assert min(limits.callers, limits.peers) >= MIN_CONNECTIONS
        assert limits.tasks >= limits.callers + limits.peers + MIN_CONNECTIONS + PAGE_TASKS

    # Guards against callers and other gateways that take all descriptors, so that none is left for
    # a searcher, the store or a readiness check.
    @given(st.integers(64, 70_000))
    def test_descriptors_remain_for_searchers(self, descriptors):
        capacity = HostCapacity(1.0, 1_000.0, 4_000_000_000, descriptors)
        limits = plan_connections(capacity, 1_048_576)
        accepted = 2 * (limits.callers + limits.peers)
        files = min(200, descriptors // 4)
        assert descriptors - files - accepted >= (descriptors - files - 16) // 4 + 15

    @given(LIMITS)
    def test_all_connections_fit_into_memory(self, limit):
        limits = plan_connections(HostCapacity(1.0, 1_000.0, limit, 70_000), 1_048_576)
        accepted = limits.callers + limits.peers
        searchers = limits.tasks - accepted - PAGE_TASKS
        used = accepted * (CALLER_CONNECTION_BYTES + CALLER_KERNEL_BYTES)
        used += searchers * (SEARCHER_CONNECTION_BYTES + SEARCHER_KERNEL_BYTES)
        assert used <= 0.75 * limit

    def test_host_of_the_pages(self):
        limits = plan_connections(HostCapacity(1.0, 1_000.0, 300_000_000, 4_100), 20_000)
        assert (limits.callers, limits.peers) == (797, 530)
