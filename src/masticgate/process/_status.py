"""The status of an entry host: its versions, peers, owned services, pools and counters."""

from typing import Any

from .._ranks import Rank
from ._host_runtime import HostRuntime
from ._messages import Member
from ._metrics import Metrics
from ._service_pool import ServicePool
from ._watch_role import WatchRole


def status_fields(runtime: HostRuntime, role: WatchRole, metrics: Metrics) -> dict[str, Any]:
    """Return the status that ``masticgate status`` shows, in types that JSON can represent."""
    configuration = runtime.versions.configuration
    return {
        "host": runtime.own_host,
        "incarnation": runtime.incarnation,
        "revision": configuration.revision if configuration else 0,
        "refused_revision": runtime.versions.highest_refused,
        "problems": list(runtime.versions.problems),
        "watcher": role.watching,
        "snapshots": [s.version for s in runtime.versions.catalogue.snapshots],
        "leaving": sorted(configuration.leaving) if configuration else [],
        "peers": [_member_fields(runtime, member) for member in runtime.members.list_members()],
        "owned": sorted(runtime.owned_services()),
        "pools": [_pool_fields(pool) for pool in runtime.owner.pools.list_pools()],
        "stopping": runtime.owner.stopping,
        "counters": metrics.read_totals(),
    }


def _member_fields(runtime: HostRuntime, member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "failure_domain": member.failure_domain,
        "incarnation": member.incarnation,
        "state": member.state.name.lower(),
        "reachable": member.host == runtime.own_host or runtime.links.is_open(member.host),
    }


def _pool_fields(pool: ServicePool) -> dict[str, Any]:
    return {
        "service": pool.service,
        "queued": {rank.label: pool.pending.depth(rank) for rank in Rank},
        "searchers": {
            name: {"state": health.state.value, "in_flight": health.in_flight}
            for name, health in pool.health.items()
        },
    }
