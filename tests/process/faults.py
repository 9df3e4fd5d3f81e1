"""Random faults of a fleet of real processes; the same seed gives the same schedule of faults."""

import random
import signal
from dataclasses import dataclass

from tests.standins.fleet import Fleet

DESK, LEDGER = ("d1a", "d1b"), ("l1a", "l1b")
ORDERS = ("oa", "ob")
SEARCHERS = DESK + LEDGER + ORDERS
"""The ids of all searchers in the small text; each tuple above holds those of a department."""


@dataclass(frozen=True)
class HostKilled:
    """The entry host with index ``host`` is killed, and started again when the fault is removed."""

    host: int


@dataclass(frozen=True)
class HostPaused:
    """The entry host with index ``host`` is stopped by SIGSTOP until the fault is removed."""

    host: int


@dataclass(frozen=True)
class SearcherBehaviourSet:
    """One field of a stand-in searcher's ``Behaviour`` is set to ``value``.

    It is set to ``normal`` when the fault is removed.
    """

    searcher: str
    setting: str
    value: object
    normal: object


@dataclass(frozen=True)
class SnapshotPublished:
    """A new snapshot with ``shards`` shards for each service is published.

    The searchers hold the previous snapshot too until the fault is removed.
    """

    shards: int


@dataclass(frozen=True)
class TextEdited:
    """The configuration text is published with ``old`` replaced by ``new``.

    The original text is published again when the fault is removed.
    """

    old: str
    new: str


@dataclass(frozen=True)
class PlatformDown:
    """The platform answers every request with an error until the fault is removed."""


Fault = (
    HostKilled | HostPaused | SearcherBehaviourSet | SnapshotPublished | TextEdited | PlatformDown
)


@dataclass(frozen=True)
class FaultStep:
    """One or two faults that last ``fault_seconds``, and the time without faults after them."""

    faults: tuple[Fault, ...]
    fault_seconds: float
    recovery_seconds: float


def plan_step(source: random.Random, hosts: int) -> FaultStep:
    """Draw one or two faults of different kinds, and their durations, for ``hosts`` hosts."""
    kinds = source.sample(range(6), source.choice((1, 2)))
    faults = tuple(plan_fault(source, kind, hosts) for kind in kinds)
    return FaultStep(faults, source.uniform(0.3, 1.5), source.uniform(0.2, 0.8))


def plan_fault(source: random.Random, kind: int, hosts: int) -> Fault:
    """Draw the details of a fault; ``kind`` is an index into the tuple at the end."""
    behaviour_faults = [
        ("draining", True, False),
        ("loss_share", 0.5, 0.0),
        ("error_share", 0.5, 0.0),
        ("frozen", True, False),
        ("close_after_booking", True, False),
        ("wrong_version", 999, 0),
        ("shed_above", 0, 1000),
    ]
    leaving = ('"ledger": {}', '"ledger": {"leaving": true}')
    floors = ('"deployment"', '"floors": {"bulk": 0.2}, "deployment"')
    return (
        lambda: HostKilled(source.randrange(hosts)),
        lambda: HostPaused(source.randrange(hosts)),
        lambda: SearcherBehaviourSet(source.choice(SEARCHERS), *source.choice(behaviour_faults)),
        lambda: SnapshotPublished(source.randint(1, 3)),
        lambda: TextEdited(*source.choice((leaving, floors))),
        PlatformDown,
    )[kind]()


def inject(fleet: Fleet, fault: Fault) -> None:
    """Cause ``fault`` in ``fleet``."""
    match fault:
        case HostKilled(host=host):
            fleet.kill(fleet.hosts[host]["host"])
        case HostPaused(host=host):
            if fleet.is_running(fleet.hosts[host]["host"]):
                fleet.signal(fleet.hosts[host]["host"], signal.SIGSTOP)
        case SearcherBehaviourSet(searcher=searcher, setting=setting, value=value):
            fleet.set_behaviour([searcher], **{setting: value})
        case SnapshotPublished(shards=count):
            version = fleet.snapshots[-1]["version"] + 1
            shard_maps = {
                service: {f"{service}/v{version}s{n}": 1.0 + n for n in range(count)}
                for service in fleet.snapshots[0]["shards"]
            }
            fleet.snapshots.append({"version": version, "shards": shard_maps})
            fleet.set_behaviour([], held=[s["version"] for s in fleet.snapshots[-2:]])
            fleet.publish_snapshots(fleet.snapshots[-2:])
        case TextEdited(old=old, new=new):
            fleet.publish_text(fleet.text.replace(old, new))
        case PlatformDown():
            fleet.control_platform("down", down=True)


def remove(fleet: Fleet, fault: Fault) -> None:
    """Undo ``fault``; a published snapshot stays, and searchers hold only the last one."""
    match fault:
        case HostKilled(host=host):
            fleet.start_host(host)
        case HostPaused(host=host):
            if fleet.is_running(fleet.hosts[host]["host"]):
                fleet.signal(fleet.hosts[host]["host"], signal.SIGCONT)
        case SearcherBehaviourSet(searcher=searcher, setting=setting, normal=normal):
            fleet.set_behaviour([searcher], **{setting: normal})
        case SnapshotPublished():
            fleet.set_behaviour([], held=[fleet.snapshots[-1]["version"]])
        case TextEdited():
            fleet.publish_text(fleet.text)
        case PlatformDown():
            fleet.control_platform("down", down=False)
