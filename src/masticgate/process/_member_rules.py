"""Rules of the membership protocol: precedence of entries, digests, and who monitors whom.

A host monitors some of the other hosts, its neighbours: it declares them suspect, then dead, when
they stay silent.
"""

from collections.abc import Iterable, Sequence

import xxhash

from .._ids import HostId
from ._messages import Member, MemberState

NEAR_NEIGHBOURS = 6
"""Each host monitors this many hosts that follow it on the ring of hashed ids."""

CROSS_DOMAIN_NEIGHBOURS = 2
"""Each host monitors this many further hosts, in other failure domains than its own.

If no further host is in another failure domain, the next ones on the ring are monitored.
"""

DIGEST_BUCKETS = 64
"""The number of buckets that host ids are hashed into; a digest has one number for each."""

RING_SIZE = 2**64
"""The number of values of a hashed host id."""

USABLE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
"""The states in which a host may own services; a suspect host may still be alive."""


def is_usable(member: Member) -> bool:
    """Return whether a host in the state of ``member`` may own services."""
    return member.state in USABLE_STATES


def supersedes(new: Member, known: Member) -> bool:
    """Return whether ``new`` replaces ``known``, an entry of the same host.

    The later incarnation (run of the host's process) wins. Within one incarnation, leaving wins
    over every other state; then the higher counter wins, which the host itself raises to refute
    that it is suspect or dead; then the worse state. Hosts that receive the same updates thus
    end with the same incarnation, state and counter, in whatever order the updates arrive.
    """
    return _precedence(new) > _precedence(known)


def needs_correction(received: Member, known: Member) -> bool:
    """Return whether two entries of a host differ in the incarnation or in :func:`is_usable`."""
    return received.incarnation != known.incarnation or is_usable(received) != is_usable(known)


def choose_neighbours(own: Member, others: Iterable[Member]) -> list[Member]:
    """Return the hosts that ``own`` monitors: a bounded number, or all of ``others`` if few."""
    start = _position(own.host)
    ring = sorted(others, key=lambda member: (_position(member.host) - start) % RING_SIZE)
    rest = ring[NEAR_NEIGHBOURS:]
    in_other_domains = [member for member in rest if member.failure_domain != own.failure_domain]
    return ring[:NEAR_NEIGHBOURS] + (in_other_domains or rest)[:CROSS_DOMAIN_NEIGHBOURS]


def bucket_of(host: HostId) -> int:
    """Return the index of the digest bucket that ``host`` belongs to."""
    return xxhash.xxh32_intdigest(host.encode()) % DIGEST_BUCKETS


def fingerprint(member: Member) -> int:
    """Return a hash of the id and the incarnation of a host."""
    return xxhash.xxh32_intdigest(f"{member.host}|{member.incarnation}".encode())


def digest_of(members: Iterable[Member]) -> tuple[int, ...]:
    """Return a digest of the usable hosts: the XOR of their fingerprints in each bucket.

    The order of ``members`` does not matter.
    """
    buckets = [0] * DIGEST_BUCKETS
    for member in members:
        if is_usable(member):
            buckets[bucket_of(member.host)] ^= fingerprint(member)
    return tuple(buckets)


def differing_buckets(own: Sequence[int], other: Sequence[int]) -> set[int]:
    """Return the buckets in which two digests differ, none if their lengths differ.

    A message without a digest carries an empty one, so there is nothing to compare then.
    """
    if len(own) != len(other):
        return set()
    return {bucket for bucket, value in enumerate(own) if other[bucket] != value}


def _precedence(member: Member) -> tuple[int, bool, int, int]:
    leaving = member.state is MemberState.LEAVING
    return member.incarnation, leaving, member.counter, member.state.value


def _position(host: HostId) -> int:
    return xxhash.xxh3_64_intdigest(host.encode())
