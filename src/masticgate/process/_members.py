"""What this host believes of the other hosts."""

from collections.abc import Callable, Iterable
from threading import Lock

from .._ids import HostId
from ._messages import Member, MemberState
from ._timeline import EventKind, TimeLine


class Members:
    """Beliefs about hosts; a later incarnation wins, then a higher state."""

    def __init__(
        self, own: Member, timeline: TimeLine, on_change: Callable[[Member], None]
    ) -> None:
        self.own = own
        self.timeline = timeline
        self.on_change = on_change
        self.lock = Lock()
        self.members: dict[HostId, Member] = {own.host: own}

    def hear(self, members: Iterable[Member]) -> None:
        """Take over what is newer in ``members``."""
        for member in members:
            self._hear_one(member)

    def list_members(self) -> list[Member]:
        """Return all beliefs, own host included, by host."""
        with self.lock:
            return sorted(self.members.values(), key=lambda member: member.host)

    def usable(self) -> list[HostId]:
        """Return the hosts that may own services."""
        barred = (MemberState.LEAVING, MemberState.DEAD)
        return [m.host for m in self.list_members() if m.state not in barred]

    def _hear_one(self, member: Member) -> None:
        if member.host == self.own.host:
            return
        with self.lock:
            known = self.members.get(member.host)
            if known is not None and _order(member) <= _order(known):
                return
            self.members[member.host] = member
            detail = f"{member.state.name.lower()}, incarnation {member.incarnation}"
            self.timeline.add(EventKind.MEMBER_CHANGED, member.host, detail)
        self.on_change(member)


def _order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state.value
