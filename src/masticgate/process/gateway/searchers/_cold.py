"""Decides how much a cold searcher is sent; load scenario: searchers that come back cold.

A searcher is cold for some time after its start, and crashes if more requests arrive than it
tolerates. The bound holds for all gateways together, in any second, also while they cannot reach
each other. Each seed therefore has an equal part of it, which it divides among the gateways that it
counts. A gateway may use what it gets from the seeds that it hears, and nothing else.
"""

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from ...._clock import MILLIS_PER_SECOND
from ...._ids import Address, Millis, SearcherId, ServiceId
from .._membership import heartbeat_interval
from .._rendezvous import rendezvous_weight

WINDOW = Millis(1_300.0)
"""The time for which the requests of a gateway are counted.

It is the second of the bound, and the 300 ms for which a request may wait until its connection is
open: requests that were sent over a longer time then arrive within one second.
"""

SETTLING_TIME = Millis(1_500.0)
"""A seed or its gatherers are relied on after this time.

A seed that has just started has not heard from every gateway before that, and would divide its part
among too few.
"""

VIEW_TTL = Millis(4_000.0)
"""How long the reply of a seed counts.

A seed counts a gateway for at least 5 s after its last heartbeat, and its reply takes up to 0.8 s.
The gateway therefore stops using its part before the seed gives the part to another one.
"""

VIEW_INTERVALS = 2.0
"""The same in intervals between heartbeats, in a system of many gateways; the seeds use 2.6."""

COUNT_MEMORY = Millis(60_000.0)
"""A gateway that a seed counted counts for this long.

The number of gateways therefore never seems lower than the highest within this time.
"""

UNKNOWN_SHARE_WAIT = Millis(500.0)
"""The time after which a gateway without a part of the bound may have one."""


class SenderKind(Enum):
    """The gateways that may send to the searchers of a service."""

    GATHERERS = "gatherers"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many requests arrive at a cold searcher at most, for all gateways together.

    In any second these are ``per_s`` times ``over`` plus ``slack``. ``duration`` is how long a
    searcher is cold after its start.
    """

    per_s: float
    over: float
    slack: float
    duration: Millis = Millis(0.0)

    @property
    def budget(self) -> float:
        """Return the requests that the gateways send in each window.

        These are ``per_s``. The rest of the bound is for gateways that disagree for a moment.
        """
        return min(self.per_s * WINDOW / MILLIS_PER_SECOND, self.per_s * self.over + self.slack)


@dataclass(frozen=True, slots=True)
class Allowance:
    """A gateway may send ``requests`` in each ``window`` to one searcher."""

    requests: int
    window: Millis = WINDOW

    def plus(self, other: "Allowance") -> "Allowance":
        """Return an allowance for the requests of both."""
        return Allowance(self.requests + other.requests, max(self.window, other.window))


NOTHING = Allowance(0)


@dataclass(slots=True)
class SeedView:
    """The gateways among which one seed divides its part, and this one, if it is one of them.

    ``senders`` has the time at which each one was last counted. The view counts from ``since``.
    """

    own: str | None
    heard_at: Millis
    since: Millis
    ttl: Millis = VIEW_TTL
    senders: dict[str, Millis] = field(default_factory=dict)

    def is_usable(self, now: Millis) -> bool:
        """Return whether this gateway may use its share of the seed's part."""
        return self.own is not None and now >= self.since and now - self.heard_at <= self.ttl

    def update(self, own: str | None, senders: Collection[str], now: Millis) -> bool:
        """Record a reply of the seed; return whether it changes the senders."""
        known = self.senders
        changed = own != self.own or any(sender not in known for sender in senders)
        known.update(dict.fromkeys(senders, now))
        if any(now - seen_at > COUNT_MEMORY for seen_at in known.values()):
            self.senders = {s: at for s, at in known.items() if now - at <= COUNT_MEMORY}
            changed = True
        self.own, self.heard_at = own, now
        self.ttl = max(
            VIEW_TTL, Millis(VIEW_INTERVALS * heartbeat_interval(len(senders), is_gatherer=False))
        )
        return changed

    def share(self, part: float, searcher: SearcherId, seed: Address) -> Allowance:
        """Return the share of this gateway in the ``part`` of the seed for one searcher.

        If the part is less than one request for each gateway, only some of them have a share; which
        ones depends on the searcher. They need no request from each other for that.
        """
        if len(self.senders) <= part:
            return Allowance(int(part / len(self.senders)))
        own_weight = self._weight(str(self.own), searcher, seed)
        ahead = sum(self._weight(s, searcher, seed) > own_weight for s in self.senders)
        if ahead >= max(1, int(part)):
            return NOTHING
        return Allowance(1, max(WINDOW, Millis(WINDOW / part)))

    def _weight(self, sender: str, searcher: SearcherId, seed: Address) -> tuple[int, str]:
        return rendezvous_weight(f"{seed} {searcher}", sender), sender


class ColdLimits:
    """The bounds of all services, and what the seeds say of the gateways that may send.

    The fleet's lock guards it. ``bounds`` has the services with a bound. ``version`` grows with
    each change after which an allowance may differ.
    """

    def __init__(self, seeds: tuple[Address, ...]) -> None:
        self.seeds = seeds
        self.bounds: Mapping[ServiceId, ColdBound] = {}
        self.gathered: Collection[ServiceId] = ()
        self.views: dict[tuple[Address, SenderKind], SeedView] = {}
        self.version = 0

    def apply(
        self,
        seeds: tuple[Address, ...],
        bounds: Mapping[ServiceId, ColdBound],
        gathered: Collection[ServiceId],
    ) -> None:
        """Apply changed seeds, bounds, and the services that only gatherers send to."""
        self.seeds, self.bounds, self.gathered = seeds, bounds, gathered
        self.views = {key: view for key, view in self.views.items() if key[0] in seeds}
        self.version += 1

    def record(
        self,
        seed: Address,
        kind: SenderKind,
        own: str | None,
        senders: Collection[str],
        now: Millis,
    ) -> None:
        """Record the gateways that a seed counts, and the name of this one among them.

        The names of gatherers may change before the seed knows all of them, so that they count
        only after a while; the position of a gateway is its own from the first reply on.
        """
        if seed not in self.seeds:
            return
        view = self.views.get((seed, kind))
        if view is None or now - view.heard_at > view.ttl:
            delay = SETTLING_TIME if kind is SenderKind.GATHERERS else Millis(0.0)
            known = {} if view is None else view.senders
            view = SeedView(own, now, Millis(now + delay), senders=known)
            self.views[seed, kind] = view
            self.version += 1
        if view.update(own, senders, now):
            self.version += 1

    def allowance(self, searcher: SearcherId, service: ServiceId, now: Millis) -> Allowance:
        """Return what this gateway may send to a cold searcher of a service with a bound."""
        budget = self.bounds[service].budget
        if not self.seeds:
            return Allowance(max(1, int(budget)), max(WINDOW, Millis(WINDOW / budget)))
        # A part of less than one request in a window would make each request wait for many.
        count = max(1, min(len(set(self.seeds)), int(budget)))
        chosen = sorted(set(self.seeds), key=lambda seed: (rendezvous_weight(searcher, seed), seed))
        kind = SenderKind.GATHERERS if service in self.gathered else SenderKind.ALL
        total = NOTHING
        for seed in chosen[:count]:
            view = self.views.get((seed, kind))
            if view is not None and view.is_usable(now):
                total = total.plus(view.share(budget / count, searcher, seed))
        return total


ALLOWANCE_TTL = Millis(200.0)
"""How long an allowance is used before it is computed again, since replies of seeds expire."""


class ColdGuard:
    """Counts what this gateway sends to one searcher, and holds requests back while it is cold.

    It is cold until ``until``. ``sent`` has the times of the latest requests.
    """

    def __init__(
        self, searcher: SearcherId, service: ServiceId, limits: ColdLimits, until: Millis
    ) -> None:
        self.searcher = searcher
        self.service = service
        self.limits = limits
        self.until = until
        self.sent: deque[Millis] = deque()
        self.allowance = NOTHING
        self.computed_for = -1
        self.computed_at = Millis(0.0)

    def is_bounded(self) -> bool:
        """Return whether the searcher's service states a bound."""
        return self.service in self.limits.bounds

    def is_cold(self, now: Millis) -> bool:
        """Return whether the searcher is cold and its service states a bound."""
        return now < self.until and self.is_bounded()

    def wait(self, now: Millis) -> Millis:
        """Return how long no request may be sent to the searcher, 0 if one may be sent now."""
        if not self.is_cold(now):
            return Millis(0.0)
        self._update_allowance(now)
        remaining = Millis(self.until - now)
        if not self.allowance.requests:
            return min(remaining, UNKNOWN_SHARE_WAIT)
        if len(self.sent) < self.allowance.requests:
            return Millis(0.0)
        next_at = self.sent[-self.allowance.requests] + self.allowance.window
        return min(remaining, max(Millis(0.0), Millis(next_at - now)))

    def record_sent(self, now: Millis) -> None:
        """Record a request that is sent to the searcher, cold or not; it may become cold soon."""
        if self.is_bounded():
            self.sent.append(now)
            kept = max(1, int(self.limits.bounds[self.service].budget))
            while len(self.sent) > kept:
                self.sent.popleft()

    def withdraw(self) -> None:
        """Forget the latest request, which was not sent after all."""
        if self.sent:
            self.sent.pop()

    def _update_allowance(self, now: Millis) -> None:
        if self.computed_for == self.limits.version and now - self.computed_at < ALLOWANCE_TTL:
            return
        self.allowance = self.limits.allowance(self.searcher, self.service, now)
        self.computed_for, self.computed_at = self.limits.version, now
