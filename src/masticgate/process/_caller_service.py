"""What the process does for callers and operators."""

import random
from dataclasses import asdict
from typing import Any

from .._clock import Clock
from .._failures import NotRun, Reason, Step, Unknown
from .._ids import HostId, Millis, QueryId, TicketId
from .._ranks import Rank
from ..connection import BookingRequest, SearchRequest
from ..request import (
    Answer,
    Booking,
    BookingOutcome,
    Forward,
    Query,
    run_booking,
    run_search,
)
from ._host_tier import HostTier
from ._messages import Member
from ._service_pool import ServicePool
from ._tickets import TicketTable, parse_ticket
from ._timeline import Event, TimeLine
from ._watch_role import WatchRole


class CallerService:
    """Runs the callers' requests on this host."""

    def __init__(
        self,
        host: HostId,
        tier: HostTier,
        tickets: TicketTable,
        timeline: TimeLine,
        clock: Clock,
        role: WatchRole,
    ) -> None:
        self.host = host
        self.tier = tier
        self.tickets = tickets
        self.timeline = timeline
        self.clock = clock
        self.role = role
        self.random = random.SystemRandom()

    def search(self, request: SearchRequest) -> Answer | NotRun:
        """Run a search."""
        query = Query(
            self._new_id(),
            request.rank,
            Millis(self.clock.now() + request.remaining),
            self.random.random(),
            request.services,
            request.text,
            request.limit,
        )
        return run_search(query, self.tier)

    def mint_ticket(self) -> TicketId | NotRun:
        """Return a ticket for one booking."""
        if self.tier.owner.stopping:
            return NotRun(Reason.SHUTTING_DOWN, Step.TICKET, peer=self.host)
        return self.tickets.mint()

    def book(self, request: BookingRequest) -> BookingOutcome:
        """Run a booking at most once."""
        parts = parse_ticket(request.ticket)
        if parts is None:
            return NotRun(Reason.BAD_REQUEST, Step.TICKET, detail="no ticket of this deployment")
        booking = Booking(
            self._new_id(),
            request.ticket,
            parts.host,
            parts.incarnation,
            request.service,
            request.rank,
            Millis(self.clock.now() + request.remaining),
            request.payload,
        )
        return run_booking(booking, self.tickets, self.tier)

    def run_forwarded(self, forward: Forward) -> BookingOutcome:
        """Run a booking that another host forwarded here, where its ticket was minted."""
        if forward.incarnation != self.tier.incarnation:
            return Unknown(Reason.MINTER_LOST, Step.TICKET, peer=self.host)
        booking = Booking(
            forward.query,
            forward.ticket,
            self.host,
            forward.incarnation,
            forward.service,
            forward.rank,
            Millis(self.clock.now() + forward.remaining),
            forward.payload,
        )
        return run_booking(booking, self.tickets, self.tier)

    def status(self) -> dict[str, Any]:
        """Return what ``masticgate status`` shows."""
        tier = self.tier
        configuration = tier.versions.configuration
        return {
            "host": self.host,
            "incarnation": tier.incarnation,
            "revision": configuration.revision if configuration else 0,
            "refused_revision": tier.versions.refused,
            "problems": list(tier.versions.problems),
            "watcher": self.role.watching,
            "snapshots": [s.version for s in tier.versions.catalogue.snapshots],
            "leaving": sorted(configuration.leaving) if configuration else [],
            "peers": [_member_fields(tier, member) for member in tier.members.list_members()],
            "owned": sorted(s for s, hosts in tier.table.items() if hosts[:1] == [self.host]),
            "pools": [_pool_fields(pool) for pool in tier.owner.pools.list_pools()],
            "stopping": tier.owner.stopping,
        }

    def events(self) -> list[dict[str, Any]]:
        """Return the time line's events."""
        return [_event_fields(event) for event in self.timeline.list_events()]

    def _new_id(self) -> QueryId:
        return QueryId(f"{self.host}-{self.random.getrandbits(64):016x}")


def _member_fields(tier: HostTier, member: Member) -> dict[str, Any]:
    return {
        "host": member.host,
        "failure_domain": member.failure_domain,
        "incarnation": member.incarnation,
        "state": member.state.name.lower(),
        "reachable": member.host == tier.own or tier.links.is_open(member.host),
    }


def _pool_fields(pool: ServicePool) -> dict[str, Any]:
    return {
        "service": pool.service,
        "queued": {rank.label: pool.pending.depth(rank) for rank in Rank},
        "searchers": {
            name: {"state": health.state.value, "in_flight": health.in_flight}
            for name, health in pool.health.items()
        },
    }


def _event_fields(event: Event) -> dict[str, Any]:
    return {**asdict(event), "kind": event.kind.value}
