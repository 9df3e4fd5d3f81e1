"""Measures the costs of a host's own work and state, in a host that is built but not started."""

import tracemalloc
from collections.abc import Callable

from tests.standins.fleet import allocate_ip_address

from bench.connection import member_entry
from bench.version import COPIES, accept_configuration, flat_text, scaled_text
from masticgate import (
    Address,
    FailureDomainId,
    HostId,
    Millis,
    Rank,
    Revision,
    SearcherId,
    ServiceId,
    SystemClock,
)
from masticgate.connection import SearchRequest
from masticgate.process import (
    OWNER_POLICY,
    Member,
    MemberState,
    ServicePool,
    ServicePressure,
    check_settings,
)
from masticgate.process.server import Host
from masticgate.version import Searcher

FAN_OUTS = [2, 8, 24, 72]
"""Numbers of services in one query."""

MEMBER_COUNTS = [70, 700, 3300]
"""Numbers of hosts in the membership table."""

POOL_COUNTS = [100, 200, 400]
"""Numbers of service pools, each the queue and connections of one service."""

REMAINING = Millis(230.0)


def idle_host(text: str) -> Host:
    """Return a host that has ``text`` in force and an address of its own, but runs no tasks."""
    ip_address = allocate_ip_address()
    settings = check_settings(
        f'{{"host": "own", "failure_domain": "north", "caller_address": "{ip_address}:8001",'
        f' "peer_address": "{ip_address}:7001", "log_level": "error",'
        f' "platform": {{"configuration": "{ip_address}:9000", "hosts": "{ip_address}:9000"}}}}',
        "settings",
    )
    host = Host(settings)  # type: ignore[arg-type]
    assert host.versions.offer_text(text, Revision(1))
    host.versions.activate()
    return host


def refused_calls() -> list[Callable[[], object]]:
    """Return one call for each fan-out; each makes a search that is refused because of overload."""
    host = idle_host(flat_text(FAN_OUTS))
    catalogue = {
        "versions": [
            {
                "version": 1,
                "shards": {s: {f"{s}/0": 1.0} for s in host.versions.accepted.services},
            }
        ]
    }
    assert host.versions.offer_catalogue(str(catalogue).replace("'", '"'))
    return [_refused_call(host, fan_out) for fan_out in FAN_OUTS]


def _refused_call(host: Host, fan_out: int) -> Callable[[], object]:
    services = tuple(ServiceId(f"d{fan_out}/{n}") for n in range(fan_out))
    request = SearchRequest(services, "lamp", Rank.BULK, REMAINING, 10)
    # Admission checks the services in order of their ids, so each call checks them all.
    last = max(services)

    def call() -> object:
        host.admission.record_pressure(HostId("other"), [ServicePressure(last, (0.0, 0.0, 0.0))])
        result = host.caller_service.search(request)
        assert "OVERLOAD" in repr(result), result
        return result

    return call


def heartbeat_calls() -> list[Callable[[], object]]:
    """Return one call for each number of members.

    Each does the work of one round of heartbeats, except checking neighbours and sending messages.
    """
    return [_heartbeat_call(count, 1) for count in MEMBER_COUNTS]


def large_text_heartbeat_calls() -> list[Callable[[], object]]:
    """Return one call for each size of the text, with the smallest number of members.

    Each does the same as those of :func:`heartbeat_calls`.
    """
    return [_heartbeat_call(min(MEMBER_COUNTS), copies) for copies in COPIES]


def _heartbeat_call(count: int, copies: int) -> Callable[[], object]:
    host = idle_host(scaled_text(copies))
    host.members.merge(member_entry(n) for n in range(count))

    def call() -> None:
        host.members.remove_expired()
        host.links.close_idle(host.heartbeats.neighbours)
        host.heartbeats.interval()
        host.after_heartbeat()

    return call


def change_calls() -> list[Callable[[], object]]:
    """Return one call for each number of members; each marks a host as dead or as alive in turn."""
    return [_change_call(count) for count in MEMBER_COUNTS]


def _change_call(count: int) -> Callable[[], object]:
    host = idle_host(scaled_text(1))
    host.members.merge(member_entry(n) for n in range(count))
    counter = 0

    def call() -> None:
        nonlocal counter
        counter += 1
        known = member_entry(0)
        state = (MemberState.ALIVE, MemberState.DEAD)[counter % 2]
        host.members.merge(
            [
                Member(
                    known.host,
                    known.address,
                    known.failure_domain,
                    known.incarnation,
                    state,
                    counter,
                )
            ]
        )

    return call


def member_memory() -> list[float]:
    """Return the bytes of memory that the membership table uses at each number of members."""
    return [_member_memory(count) for count in MEMBER_COUNTS]


def _member_memory(count: int) -> float:
    host = idle_host(scaled_text(1))
    tracemalloc.start()
    host.members.merge(member_entry(n) for n in range(count))
    # Only the membership table is to be counted.
    host.runtime.owner_table = {}
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return float(held)


def pool_memory() -> list[float]:
    """Return the bytes of memory that each number of service pools uses."""
    return [_pool_memory(count) for count in POOL_COUNTS]


def _pool_memory(count: int) -> float:
    clock = SystemClock()
    configuration = accept_configuration(scaled_text(1))
    tracemalloc.start()
    pools = [
        ServicePool(
            ServiceId(f"s{n}"),
            [(_searcher(n, replica), 3) for replica in (0, 1)],
            configuration.floors,
            OWNER_POLICY,
            clock,
            lambda *_: None,
        )
        for n in range(count)
    ]
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert len(pools) == count
    return float(held)


def _searcher(number: int, replica: int) -> Searcher:
    address = Address(f"127.0.0.{replica + 1}:{20000 + number}")
    return Searcher(SearcherId(f"s{number}-{replica}"), address, FailureDomainId("north"), 2, 25)
