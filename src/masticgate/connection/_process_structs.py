"""Functions that convert messages about hosts and their load to and from Cap'n Proto structs.

Each ``target`` and ``source`` is a struct of ``peer.capnp``. In these messages, a member is a host
of the deployment, and an incarnation identifies one run of a host's process. An entry host is one
that received a request from its caller.
"""

from typing import Any

from .._ids import (
    Address,
    FailureDomainId,
    HostId,
    Incarnation,
    ServiceId,
)
from .._ranks import Rank
from ..process import (
    Heartbeat,
    HeartbeatReply,
    Hello,
    Member,
    MemberState,
    RefusedCount,
    ServicePressure,
)
from ..version import (
    Versions,
)
from ._struct_list import write_list
from ._version_structs import read_versions, write_versions


def write_hello(target: Any, hello: Hello) -> None:
    """Write a hello, with which a host introduces itself on a new link."""
    target.host = hello.host
    target.address = hello.address
    target.failureDomain = hello.failure_domain
    target.incarnation = hello.incarnation
    target.oldestProtocol = hello.oldest_protocol
    target.newestProtocol = hello.newest_protocol


def read_hello(source: Any) -> Hello:
    """Read a hello."""
    return Hello(
        HostId(source.host),
        Address(source.address),
        FailureDomainId(source.failureDomain),
        Incarnation(source.incarnation),
        source.oldestProtocol,
        source.newestProtocol,
    )


def write_heartbeat(target: Any, heartbeat: Heartbeat | HeartbeatReply) -> None:
    """Write a heartbeat or a reply to one."""
    target.events = heartbeat.events
    write_versions(target.init("versions"), heartbeat.versions)
    write_list(target.init("members", len(heartbeat.members)), heartbeat.members, _write_member)
    if heartbeat.digest:
        target.digest = list(heartbeat.digest)


def read_heartbeat(
    source: Any,
) -> tuple[int, Versions, tuple[Member, ...], tuple[int, ...]]:
    """Read the fields of a heartbeat or of a reply to one."""
    members = tuple(_read_member(item) for item in source.members)
    return source.events, read_versions(source.versions), members, tuple(source.digest)


def _write_member(target: Any, member: Member) -> None:
    target.host = member.host
    target.address = member.address
    target.failureDomain = member.failure_domain
    target.incarnation = member.incarnation
    target.state = member.state.value
    target.counter = member.counter


def _read_member(source: Any) -> Member:
    return Member(
        HostId(source.host),
        Address(source.address),
        FailureDomainId(source.failureDomain),
        Incarnation(source.incarnation),
        MemberState(source.state),
        source.counter,
    )


def write_refused(target: Any, refused: RefusedCount) -> None:
    """Write the number of queries of one rank to one service that an entry host refused."""
    target.service = refused.service
    target.rank = refused.rank.value
    target.count = refused.count


def read_refused(source: Any) -> RefusedCount:
    """Read the number of queries of one rank to one service that an entry host refused."""
    return RefusedCount(ServiceId(source.service), Rank(source.rank), source.count)


def write_pressure(target: Any, pressure: ServicePressure) -> None:
    """Write the pressure of one service: the share of each rank's queries that it can admit."""
    target.service = pressure.service
    target.admitted = list(pressure.admitted)


def read_pressure(source: Any) -> ServicePressure:
    """Read the pressure of one service."""
    urgent, standard, bulk = source.admitted
    return ServicePressure(ServiceId(source.service), (urgent, standard, bulk))
