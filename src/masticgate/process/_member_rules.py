"""Beliefs about hosts: which of two wins, which are told apart, and who watches whom."""

from collections.abc import Iterable, Sequence

import xxhash

from .._ids import HostId
from ._messages import Member, MemberState

NEAR_NEIGHBOURS = 6
"""The number of hosts that a host watches, the next on the ring of hashed ids."""

FOREIGN_NEIGHBOURS = 2
"""The number of hosts in other failure domains that it watches besides."""

DIGEST_BUCKETS = 64
RING_SIZE = 2**64
USABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


def is_usable(member: Member) -> bool:
    """Tell whether a host so believed may own services."""
    return member.state in USABLE_STATES


def supersedes(new: Member, known: Member) -> bool:
    """Tell whether ``new`` replaces ``known``, a belief about the same host.

    A later incarnation wins. Within one, leaving wins for good; then the higher counter, by which
    the host refutes; then the worse state. The order is total, so that hosts that hear the same
    beliefs end with the same one, in whatever order they hear them.
    """
    return _precedence(new) > _precedence(known)


def needs_correction(received: Member, known: Member) -> bool:
    """Tell whether whoever believes ``told`` would route otherwise than by ``known``."""
    return received.incarnation != known.incarnation or is_usable(received) != is_usable(known)


def choose_neighbours(own: Member, others: Iterable[Member]) -> list[Member]:
    """Return the hosts that ``own`` watches: a bounded number, all where they are few."""
    start = _position(own.host)
    ring = sorted(others, key=lambda member: (_position(member.host) - start) % RING_SIZE)
    rest = ring[NEAR_NEIGHBOURS:]
    foreign = [member for member in rest if member.failure_domain != own.failure_domain]
    return ring[:NEAR_NEIGHBOURS] + (foreign or rest)[:FOREIGN_NEIGHBOURS]


def bucket_of(host: HostId) -> int:
    """Return the place of ``host`` in a digest."""
    return xxhash.xxh32_intdigest(host.encode()) % DIGEST_BUCKETS


def fingerprint(member: Member) -> int:
    """Return a number that stands for one incarnation of a host."""
    return xxhash.xxh32_intdigest(f"{member.host}|{member.incarnation}".encode())


def digest_of(members: Iterable[Member]) -> tuple[int, ...]:
    """Sum up the usable hosts, one number a bucket; the order of ``members`` does not matter."""
    buckets = [0] * DIGEST_BUCKETS
    for member in members:
        if is_usable(member):
            buckets[bucket_of(member.host)] ^= fingerprint(member)
    return tuple(buckets)


def differing_buckets(own: Sequence[int], other: Sequence[int]) -> set[int]:
    """Return the places in which two digests differ; none where there is nothing to compare."""
    if len(own) != len(other):
        return set()
    return {bucket for bucket, value in enumerate(own) if other[bucket] != value}


def _precedence(member: Member) -> tuple[int, bool, int, int]:
    leaving = member.state is MemberState.LEAVING
    return member.incarnation, leaving, member.counter, member.state.value


def _position(host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
