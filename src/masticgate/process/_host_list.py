"""Conversion of the platform's host list to entries for the membership table.

The list may be out of date, and doesn't say which incarnation (run of a host's process) it means.
"""

from collections.abc import Callable, Iterable
from dataclasses import replace

from .._ids import HostId, Incarnation, Millis
from ..connection import ListedHost
from ._messages import Member, MemberState

MAX_HOST_LIST_LAG = Millis(10_000.0)
"""The longest time by which the host list may be out of date."""


class HostList:
    """Converts each read of the host list.

    It is called by the startup task and later by the task that watches the list, never by both at
    once.

    If the list marks a host as leaving, the mark is applied to the host's current incarnation once
    that has been known for ``MAX_HOST_LIST_LAG``. Until then the mark may be out of date and mean
    the previous incarnation. All other entries get incarnation 0, so they never replace one that
    the host itself has sent. ``known_since`` maps each listed host to its current incarnation and
    when that was first seen.
    """

    def __init__(self, get_member: Callable[[HostId], Member | None]) -> None:
        self.get_member = get_member
        self.known_since: dict[HostId, tuple[Incarnation, Millis]] = {}

    def to_members(self, hosts: Iterable[ListedHost], now: Millis) -> list[Member]:
        """Return the membership entries that follow from ``hosts``, as read at ``now``."""
        members = [self._to_member(host, now) for host in hosts]
        listed_hosts = {member.host for member in members}
        self.known_since = {
            host: known_since
            for host, known_since in self.known_since.items()
            if host in listed_hosts
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
