"""The membership table: the state of each known host, and the updates still to be sent."""

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
from ._timeline import EventKind, Timeline

RETRANSMIT_FACTOR = 3
"""With ``n`` known hosts, an update is sent ``RETRANSMIT_FACTOR * ceil(log2(n + 1))`` times."""

MAX_UPDATES_PER_MESSAGE = 20
"""The most updates that :meth:`Members.next_updates` returns for one message."""

DEPARTED_MEMBER_TTL = Millis(7_200_000.0)
"""A host that is leaving or dead stays in the table for this long after its last change.

Until then it is listed, and probed if it is dead.
"""

MAX_TOMBSTONES = 10_000
"""The most removed hosts whose last state is kept to refuse older updates about them.

The host that was removed first is dropped first.
"""


class Members:
    """The state of each host as known to this host, merged by :func:`supersedes`.

    A host's incarnation identifies one run of its process. ``own_member`` is the entry of this
    host itself, ``tombstones`` holds the last entries of removed hosts, and ``remaining_sends``
    maps each host to how many times its entry is still to be sent as an update. A usable host may
    own services. ``on_change`` is called with the entries that changed, outside the lock.
    """

    def __init__(
        self,
        own_member: Member,
        clock: Clock,
        timeline: Timeline,
        on_change: Callable[[Sequence[Member]], None],
    ) -> None:
        self.own_member = own_member
        self.clock = clock
        self.timeline = timeline
        self.on_change = on_change
        self.lock = Lock()
        self.members: dict[HostId, Member] = {own_member.host: own_member}
        self.tombstones: OrderedDict[HostId, Member] = OrderedDict()
        self.changed_at: dict[HostId, Millis] = {own_member.host: clock.now()}
        self.remaining_sends: dict[HostId, int] = {}
        self.usable_hosts = SortedSet([own_member.host])
        self.usable_cache: list[HostId] | None = None
        self.digest = list(digest_of([own_member]))

    def merge(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Store those of ``members`` that are newer; return corrections for their sender.

        A correction is the known entry of a host whose received entry is not stored and differs in
        the incarnation, or in whether the host is usable. This host's own entry is one too if a
        received entry changed it.
        """
        changed: list[Member] = []
        corrections: list[Member] = []
        with self.lock:
            for member in members:
                self._merge_one(member, changed, corrections)
        if changed:
            self.on_change(changed)
        return tuple(corrections)

    def declare(self, member: Member, state: MemberState) -> None:
        """Set the state of the host of ``member`` unless a newer entry is known."""
        self.merge([replace(member, state=state)])

    def leave(self) -> None:
        """Mark this host as leaving, which lasts for the rest of its incarnation."""
        self.declare(self.own_member, MemberState.LEAVING)

    def get(self, host: HostId) -> Member | None:
        """Return the entry of ``host``, or ``None`` if the host is not known."""
        return self.members.get(host)

    def list_members(self) -> list[Member]:
        """Return the entries of all hosts, this one included, sorted by host id."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.host)

    def list_usable(self) -> list[HostId]:
        """Return the hosts that may own services.

        The list object stays the same until its content changes, so callers can compare identity.
        """
        with self.lock:
            if self.usable_cache is None:
                self.usable_cache = list(self.usable_hosts)
            return self.usable_cache

    def next_updates(self) -> tuple[Member, ...]:
        """Return the updates for one message, and count each as sent.

        Those with the most remaining sends come first.
        """
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
        """Return the entries to send to a host with ``peer_digest``, and whether it differs.

        It is compared with this host's digest. The entries are those of the differing buckets,
        tombstones included.
        """
        with self.lock:
            differing = differing_buckets(self.digest, peer_digest)
            if not differing:
                return (), False
            held = [*self.members.values(), *self.tombstones.values()]
        return tuple(m for m in held if bucket_of(m.host) in differing), True

    def remove_expired(self) -> None:
        """Remove hosts that have been leaving or dead for ``DEPARTED_MEMBER_TTL``.

        Their last entries become tombstones.
        """
        limit = self.clock.now() - DEPARTED_MEMBER_TTL
        with self.lock:
            for host, member in list(self.members.items()):
                if (
                    is_usable(member)
                    or host == self.own_member.host
                    or self.changed_at[host] > limit
                ):
                    continue
                self.tombstones[host] = self.members.pop(host)
                del self.changed_at[host]
                self.remaining_sends.pop(host, None)
            while len(self.tombstones) > MAX_TOMBSTONES:
                self.tombstones.popitem(last=False)

    def _merge_one(self, member: Member, changed: list[Member], corrections: list[Member]) -> None:
        if member.host == self.own_member.host:
            self._merge_own(member, changed, corrections)
            return
        known = self.members.get(member.host) or self.tombstones.get(member.host)
        if known is None or supersedes(member, known):
            self._store(member)
            changed.append(member)
        elif needs_correction(member, known):
            corrections.append(known)

    def _merge_own(self, member: Member, changed: list[Member], corrections: list[Member]) -> None:
        updated = self._updated_own_member(member)
        if updated is not None:
            self._store(updated)
            changed.append(updated)
        if updated is not None or needs_correction(member, self.own_member):
            corrections.append(self.own_member)

    def _updated_own_member(self, member: Member) -> Member | None:
        """Return this host's new entry after it received ``member``, ``None`` if nothing changes.

        A report that this host is suspect or dead is refuted by a higher counter; a report that it
        is leaving is accepted.
        """
        own_member = self.own_member
        if member.incarnation != own_member.incarnation or not supersedes(member, own_member):
            return None
        match member.state:
            case MemberState.LEAVING:
                return replace(own_member, state=MemberState.LEAVING)
            case _:
                return replace(own_member, counter=member.counter + 1)

    def _store(self, member: Member) -> None:
        if member.host == self.own_member.host:
            self.own_member = member
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
        """Update the digest and the set of usable hosts after ``member`` was stored."""
        if is_usable(member):
            self.digest[bucket_of(member.host)] ^= fingerprint(member)
        if is_usable(member) == (member.host in self.usable_hosts):
            return
        self.usable_cache = None
        if is_usable(member):
            self.usable_hosts.add(member.host)
        else:
            self.usable_hosts.remove(member.host)
