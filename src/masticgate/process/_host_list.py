"""The platform's host list as beliefs; the list lags and knows no incarnations."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from .._ids import HostId, Incarnation, Millis
from ..connection import ListedHost
from ._messages import Member, MemberState

MAX_HOST_LIST_LAG = Millis(10_000.0)
"""The host list may lag by this much."""


class HostList:
    """Turns each reading of the host list into beliefs; only the reading task calls it.

    The list marks a host as leaving, which counts for an incarnation that has been known for
    ``LIST_LAG``; for a younger one the mark may be late and mean the run before.
    """

    def __init__(self, get_member: Callable[[HostId], Member | None]) -> None:
        self.get_member = get_member
        self.known_since: dict[HostId, tuple[Incarnation, Millis]] = {}

    def to_members(self, hosts: Iterable[ListedHost], now: Millis) -> list[Member]:
        """Return the beliefs that ``hosts`` gives rise to."""
        members = [self._to_member(host, now) for host in hosts]
        named = {member.host for member in members}
        self.known_since = {
            host: known_since for host, known_since in self.known_since.items() if host in named
        }
        return members

    def _to_member(self, listed: ListedHost, now: Millis) -> Member:
        state = MemberState.LEAVING if listed.leaving else MemberState.ALIVE
        listed_member = Member(
            listed.host, listed.address, listed.failure_domain, Incarnation(0), state
        )
        known = self.get_member(listed.host) or listed_member
        incarnation, known_since = self.known_since.get(listed.host, (None, now))
        if incarnation != known.incarnation:
            known_since = now
            self.known_since[listed.host] = (known.incarnation, now)
        if listed.leaving and now - known_since >= MAX_HOST_LIST_LAG:
            return replace(known, state=MemberState.LEAVING)
        return listed_member
