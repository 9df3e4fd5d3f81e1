"""Finds the inbox that a reply from a peer belongs to."""

from collections.abc import Callable
from dataclasses import dataclass
from threading import Lock

from .._failures import Reason, Step, Unknown
from .._ids import HostId, QueryId, ServiceId
from ..request import (
    Ask,
    Book,
    BookingOutcome,
    BookReply,
    Delivery,
    Forward,
    ForwardReply,
    Inbox,
    Reply,
)


@dataclass(frozen=True, slots=True)
class _Sent:
    message: Ask | Book | Forward
    inbox: Inbox


class Mailboxes:
    """The messages that await a reply, by query and by host.

    ``learn`` is told of the outcomes of bookings that nobody waits for any more.
    """

    def __init__(self, learn: Callable[[QueryId, BookingOutcome], None]) -> None:
        self.learn = learn
        self.lock = Lock()
        self.sent: dict[QueryId, dict[HostId, _Sent]] = {}

    def register(self, host: HostId, message: Ask | Book | Forward, inbox: Inbox) -> None:
        """Route replies of ``host`` to this message to ``inbox``; call it before sending."""
        with self.lock:
            self.sent.setdefault(message.query, {})[host] = _Sent(message, inbox)

    def withdraw(self, host: HostId, query: QueryId) -> None:
        """Forget one message that was not sent."""
        with self.lock:
            hosts = self.sent.get(query, {})
            hosts.pop(host, None)
            if not hosts:
                self.sent.pop(query, None)

    def forget(self, query: QueryId) -> None:
        """Drop replies to ``query`` from now on."""
        with self.lock:
            self.sent.pop(query, None)

    def deliver(self, host: HostId, reply: Reply | BookReply | ForwardReply) -> None:
        """Put ``reply`` into the inbox that waits for it, if one still does."""
        with self.lock:
            sent = self.sent.get(reply.query, {}).get(host)
        if sent is not None:
            sent.inbox.put(Delivery(host, reply))
        elif isinstance(reply, BookReply):
            self.learn(reply.query, reply.outcome)

    def lose(self, host: HostId) -> None:
        """Tell every inbox that waits for ``host`` that it was lost."""
        with self.lock:
            lost = [hosts[host] for hosts in self.sent.values() if host in hosts]
        failure = Unknown(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        for sent in lost:
            for reply in _failed_replies(sent.message, failure):
                sent.inbox.put(Delivery(host, reply))


def _failed_replies(
    message: Ask | Book | Forward, failure: Unknown
) -> list[Reply | BookReply | ForwardReply]:
    match message:
        case Ask(query=query, parts=parts):
            return [Reply(query, ServiceId(part.service), failure) for part in parts]
        case Book(query=query):
            return [BookReply(query, failure)]
        case Forward(query=query):
            lost = Unknown(Reason.MINTER_LOST, Step.FORWARD, peer=failure.peer)
            return [ForwardReply(query, lost)]
