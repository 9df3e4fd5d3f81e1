"""What this host believes of the other hosts, and what it still has to tell them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from math import ceil, log2
from threading import Lock

from sortedcontainers import SortedSet

from .._clock import Clock
from .._ids import HostId, Millis
from ._member_rules import (
    bucket_of,
    differing_buckets,
    digest_of,
    fingerprint,
    is_usable,
    needs_correction,
    supersedes,
)
from ._messages import Member, MemberState
from ._timeline import EventKind, TimeLine

RETRANSMIT_FACTOR = 3
"""A changed belief is sent this many times the logarithm of the number of hosts."""

MAX_UPDATES_PER_MESSAGE = 20
"""The most changed beliefs that one message carries."""

DEPARTED_MEMBER_TTL = Millis(7_200_000.0)
"""A host that left or died is listed and probed for this long."""

MAX_TOMBSTONES = 10_000
"""The number of forgotten hosts of which old beliefs are still refused, the latest."""


class Members:
    """Beliefs about hosts, merged by :func:`supersedes`."""

    def __init__(
        self,
        own: Member,
        clock: Clock,
        timeline: TimeLine,
        on_change: Callable[[Sequence[Member]], None],
    ) -> None:
        self.own = own
        self.clock = clock
        self.timeline = timeline
        self.on_change = on_change
        self.lock = Lock()
        self.members: dict[HostId, Member] = {own.host: own}
        self.tombstones: OrderedDict[HostId, Member] = OrderedDict()
        self.changed_at: dict[HostId, Millis] = {own.host: clock.now()}
        self.remaining_sends: dict[HostId, int] = {}
        self.usable_hosts = SortedSet([own.host])
        self.usable_cache: list[HostId] | None = None
        self.digest = list(digest_of([own]))

    def merge(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Merge what is newer; return the newer beliefs that the sender of these lacks."""
        changed: list[Member] = []
        corrections: list[Member] = []
        with self.lock:
            for member in members:
                self._merge_one(member, changed, corrections)
        if changed:
            self.on_change(changed)
        return tuple(corrections)

    def declare(self, member: Member, state: MemberState) -> None:
        """Believe ``state`` of the host of ``member`` unless something newer is known."""
        self.merge([replace(member, state=state)])

    def leave(self) -> None:
        """Believe for good that this host leaves."""
        self.declare(self.own, MemberState.LEAVING)

    def get(self, host: HostId) -> Member | None:
        """Return the belief about ``host``."""
        return self.members.get(host)

    def list_members(self) -> list[Member]:
        """Return all beliefs, own host included, by host."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.host)

    def list_usable(self) -> list[HostId]:
        """Return the hosts that may own services; the same list until it changes."""
        with self.lock:
            if self.usable_cache is None:
                self.usable_cache = list(self.usable_hosts)
            return self.usable_cache

    def next_updates(self) -> tuple[Member, ...]:
        """Return the changed beliefs for one message, and count them as sent once more."""
        with self.lock:
            hosts = sorted(self.remaining_sends, key=lambda host: -self.remaining_sends[host])[
                :MAX_UPDATES_PER_MESSAGE
            ]
            for host in hosts:
                self.remaining_sends[host] -= 1
                if self.remaining_sends[host] <= 0:
                    del self.remaining_sends[host]
            return tuple(self.members[host] for host in hosts if host in self.members)

    def compare_digest(self, peer_digest: Sequence[int]) -> tuple[tuple[Member, ...], bool]:
        """Return what to tell a host with the digest ``theirs``, and whether it differs."""
        with self.lock:
            differing = differing_buckets(self.digest, peer_digest)
            if not differing:
                return (), False
            held = [*self.members.values(), *self.tombstones.values()]
        return tuple(m for m in held if bucket_of(m.host) in differing), True

    def remove_expired(self) -> None:
        """Drop hosts that left or died long ago; older beliefs about them stay refused."""
        limit = self.clock.now() - DEPARTED_MEMBER_TTL
        with self.lock:
            for host, member in list(self.members.items()):
                if is_usable(member) or host == self.own.host or self.changed_at[host] > limit:
                    continue
                self.tombstones[host] = self.members.pop(host)
                del self.changed_at[host]
                self.remaining_sends.pop(host, None)
            while len(self.tombstones) > MAX_TOMBSTONES:
                self.tombstones.popitem(last=False)

    def _merge_one(self, member: Member, changed: list[Member], corrections: list[Member]) -> None:
        if member.host == self.own.host:
            self._merge_own(member, changed, corrections)
            return
        known = self.members.get(member.host) or self.tombstones.get(member.host)
        if known is None or supersedes(member, known):
            self._store(member)
            changed.append(member)
        elif needs_correction(member, known):
            corrections.append(known)

    def _merge_own(self, member: Member, changed: list[Member], corrections: list[Member]) -> None:
        refutation = self._refutation(member)
        if refutation is not None:
            self._store(refutation)
            changed.append(refutation)
        if refutation is not None or needs_correction(member, self.own):
            corrections.append(self.own)

    def _refutation(self, member: Member) -> Member | None:
        """Return the new belief about this host itself, ``None`` where nothing changes."""
        own = self.own
        if member.incarnation != own.incarnation or not supersedes(member, own):
            return None
        match member.state:
            case MemberState.LEAVING:
                return replace(own, state=MemberState.LEAVING)
            case _:
                return replace(own, counter=member.counter + 1)

    def _store(self, member: Member) -> None:
        if member.host == self.own.host:
            self.own = member
        self.tombstones.pop(member.host, None)
        known = self.members.get(member.host)
        if known is not None and is_usable(known):
            self.digest[bucket_of(known.host)] ^= fingerprint(known)
        self.members[member.host] = member
        self.changed_at[member.host] = self.clock.now()
        self.remaining_sends[member.host] = RETRANSMIT_FACTOR * ceil(log2(len(self.members) + 1))
        self._update_usable(member)
        detail = f"{member.state.name.lower()}, incarnation {member.incarnation}"
        self.timeline.add(EventKind.MEMBER_CHANGED, member.host, detail)

    def _update_usable(self, member: Member) -> None:
        """Bring the digest and the list of usable hosts up to date."""
        if is_usable(member):
            self.digest[bucket_of(member.host)] ^= fingerprint(member)
        if is_usable(member) == (member.host in self.usable_hosts):
            return
        self.usable_cache = None
        if is_usable(member):
            self.usable_hosts.add(member.host)
        else:
            self.usable_hosts.remove(member.host)
