"""Handles the messages of peers."""

from collections.abc import Callable

from .._ids import HostId
from ..connection import Message
from ..request import (
    Ask,
    Book,
    BookReply,
    Cancel,
    Forward,
    ForwardReply,
    Reply,
)
from ..version import CataloguePush, FetchVersions, SectionsPush, TextPush
from ._distribution import Distribution
from ._links import Links
from ._members import Members
from ._messages import Demand, Heartbeat, HeartbeatReply, Hello, Member, MemberState, Pressure
from ._owner import Owner
from ._pressure import PressureReporter
from ._reply_router import ReplyRouter
from ._timeline import EventKind, TimeLine
from ._versions import VersionStore

ForwardRunner = Callable[[Forward, Callable[[ForwardReply], object]], None]


class PeerService:
    """What this process does with each message, whichever link it came over."""

    def __init__(
        self,
        own: Hello,
        members: Members,
        versions: VersionStore,
        timeline: TimeLine,
        reply_router: ReplyRouter,
    ) -> None:
        self.own = own
        self.members = members
        self.versions = versions
        self.timeline = timeline
        self.reply_router = reply_router
        self.owner: Owner
        self.links: Links
        self.pressure: PressureReporter
        self.distribution: Distribution
        self.run_forward: ForwardRunner

    def hello(self) -> Hello:
        """Return this host's own hello."""
        return self.own

    def probe_heartbeat(self) -> Heartbeat:
        """Return a heartbeat that only asks for an answer."""
        return Heartbeat(self.timeline.sequence, self.versions.versions(), ())

    def link_opened(self, peer: Hello) -> None:
        """Note that the link to ``peer`` is open; tell it what was believed of it."""
        self.timeline.add(EventKind.LINK_OPENED, peer.host, f"incarnation {peer.incarnation}")
        corrections = self.members.merge([member_from_hello(peer)])
        digest = tuple(self.members.digest)
        beat = Heartbeat(
            self.timeline.sequence,
            self.versions.versions(),
            (self.members.own, *corrections),
            digest,
        )
        self.links.send(peer.host, beat)

    def link_lost(self, host: HostId) -> None:
        """Fail the requests that wait for ``host``."""
        self.timeline.add(EventKind.LINK_LOST, host)
        self.reply_router.fail_pending(host)

    def receive(self, peer: Hello, message: Message, answer: Callable[[Message], bool]) -> None:
        """Handle one message from ``peer``; ``answer`` sends on the same connection."""
        match message:
            case Ask():
                self.pressure.record_entry_host(peer.host, answer)
                self.owner.submit_search(message, answer)
            case Cancel():
                self.owner.cancel(message)
            case Book():
                self.owner.submit_booking(message, answer)
            case Reply() | BookReply() | ForwardReply():
                self.reply_router.deliver(peer.host, message)
            case Forward():
                self.run_forward(message, answer)
            case Heartbeat():
                self._handle_heartbeat(peer, message, answer)
            case HeartbeatReply():
                self._handle_heartbeat_reply(peer, message, answer)
            case FetchVersions(have=have):
                self.distribution.answer_fetch(have, answer)
            case TextPush() | SectionsPush() | CataloguePush():
                self.distribution.handle_push(message, answer)
            case Demand():
                self.pressure.handle_demand(message)
            case Pressure(services=services):
                self.pressure.admission.record_pressure(peer.host, services)
            case Hello():
                return

    def _handle_heartbeat(
        self, peer: Hello, beat: Heartbeat, answer: Callable[[Message], bool]
    ) -> None:
        self.timeline.record_sequence(peer.host, beat.events)
        corrections = self.members.merge(beat.members)
        self.distribution.compare_versions(peer, beat.versions, answer)
        missing, differs = self.members.compare_digest(beat.digest)
        digest = tuple(self.members.digest) if differs else ()
        versions = self.versions.versions()
        answer(HeartbeatReply(self.timeline.sequence, versions, corrections + missing, digest))

    def _handle_heartbeat_reply(
        self, peer: Hello, reply: HeartbeatReply, answer: Callable[[Message], bool]
    ) -> None:
        self.timeline.record_sequence(peer.host, reply.events)
        corrections = self.members.merge(reply.members)
        self.distribution.compare_versions(peer, reply.versions, answer)
        missing, _ = self.members.compare_digest(reply.digest)
        if corrections or missing:
            answer(
                Heartbeat(self.timeline.sequence, self.versions.versions(), corrections + missing)
            )


def member_from_hello(peer: Hello) -> Member:
    """Return the belief that a hello gives rise to."""
    return Member(peer.host, peer.address, peer.failure_domain, peer.incarnation, MemberState.ALIVE)
