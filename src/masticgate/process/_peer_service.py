"""The handler of the messages that arrive from peers (other entry hosts)."""

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
from ._timeline import EventKind, Timeline
from ._versions import VersionStore

ForwardRunner = Callable[[Forward, Callable[[ForwardReply], object]], None]
"""Runs a forwarded booking and passes its reply to the second argument."""


class PeerService:
    """Passes each message from a peer to the part of the process that handles it.

    ``own_hello`` is the first message that this host sends on each link. The attributes that are
    declared without a value are parts that are built after this one; they are set before the first
    message arrives.
    """

    def __init__(
        self,
        own_hello: Hello,
        members: Members,
        versions: VersionStore,
        timeline: Timeline,
        reply_router: ReplyRouter,
    ) -> None:
        self.own_hello = own_hello
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
        return self.own_hello

    def probe_heartbeat(self) -> Heartbeat:
        """Return a heartbeat without updates, sent only to get a reply."""
        return Heartbeat(self.timeline.sequence, self.versions.versions(), ())

    def handle_link_opened(self, peer: Hello) -> None:
        """Record that the link to ``peer`` is open, and send it a first heartbeat.

        If this host has a conflicting entry of the peer that the hello does not replace, the
        heartbeat carries it, so that a peer that was declared dead can refute that.
        """
        self.timeline.add(EventKind.LINK_OPENED, peer.host, f"incarnation {peer.incarnation}")
        corrections = self.members.merge([member_from_hello(peer)])
        digest = tuple(self.members.digest)
        heartbeat = Heartbeat(
            self.timeline.sequence,
            self.versions.versions(),
            (self.members.own_member, *corrections),
            digest,
        )
        self.links.send(peer.host, heartbeat)

    def handle_link_lost(self, host: HostId) -> None:
        """Fail the requests that wait for a reply from ``host``, whose link is lost."""
        self.timeline.add(EventKind.LINK_LOST, host)
        self.reply_router.fail_pending(host)

    def handle_message(
        self, peer: Hello, message: Message, send_reply: Callable[[Message], bool]
    ) -> None:
        """Handle one message from ``peer``; ``send_reply`` sends on the same link."""
        match message:
            case Ask():
                self.pressure.record_entry_host(peer.host, send_reply)
                self.owner.submit_search(message, send_reply)
            case Cancel():
                self.owner.cancel(message)
            case Book():
                self.owner.submit_booking(message, send_reply)
            case Reply() | BookReply() | ForwardReply():
                self.reply_router.deliver(peer.host, message)
            case Forward():
                self.run_forward(message, send_reply)
            case Heartbeat():
                self._handle_heartbeat(peer, message, send_reply)
            case HeartbeatReply():
                self._handle_heartbeat_reply(peer, message, send_reply)
            case FetchVersions(current=current):
                self.distribution.answer_fetch(current, send_reply)
            case TextPush() | SectionsPush() | CataloguePush():
                self.distribution.handle_push(message, send_reply)
            case Demand():
                self.pressure.handle_demand(message)
            case Pressure(services=services):
                self.pressure.admission.record_pressure(peer.host, services)
            case Hello():
                return

    def _handle_heartbeat(
        self, peer: Hello, heartbeat: Heartbeat, send_reply: Callable[[Message], bool]
    ) -> None:
        self.timeline.record_sequence(peer.host, heartbeat.events)
        corrections = self.members.merge(heartbeat.members)
        self.distribution.compare_versions(peer, heartbeat.versions, send_reply)
        missing, differs = self.members.compare_digest(heartbeat.digest)
        digest = tuple(self.members.digest) if differs else ()
        versions = self.versions.versions()
        send_reply(HeartbeatReply(self.timeline.sequence, versions, corrections + missing, digest))

    def _handle_heartbeat_reply(
        self, peer: Hello, reply: HeartbeatReply, send_reply: Callable[[Message], bool]
    ) -> None:
        self.timeline.record_sequence(peer.host, reply.events)
        corrections = self.members.merge(reply.members)
        self.distribution.compare_versions(peer, reply.versions, send_reply)
        missing, _ = self.members.compare_digest(reply.digest)
        if corrections or missing:
            send_reply(
                Heartbeat(self.timeline.sequence, self.versions.versions(), corrections + missing)
            )


def member_from_hello(hello: Hello) -> Member:
    """Return the membership entry of the host that sent ``hello``: alive, in its incarnation."""
    return Member(
        hello.host, hello.address, hello.failure_domain, hello.incarnation, MemberState.ALIVE
    )
