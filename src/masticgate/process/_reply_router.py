"""Routes each reply from a host to the inbox of the request that waits for it."""

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
class _PendingRequest:
    message: Ask | Book | Forward
    inbox: Inbox


class ReplyRouter:
    """Keeps the messages that await a reply, by query and by host, and routes their replies.

    ``on_late_outcome`` is called with the outcome of a booking that no request waits for any more.
    """

    def __init__(self, on_late_outcome: Callable[[QueryId, BookingOutcome], None]) -> None:
        self.on_late_outcome = on_late_outcome
        self.lock = Lock()
        self.pending: dict[QueryId, dict[HostId, _PendingRequest]] = {}

    def register(self, host: HostId, message: Ask | Book | Forward, inbox: Inbox) -> None:
        """Route replies of ``host`` to this message to ``inbox``; call it before sending."""
        with self.lock:
            self.pending.setdefault(message.query, {})[host] = _PendingRequest(message, inbox)

    def unregister(self, host: HostId, query: QueryId) -> None:
        """Remove one message that could not be sent."""
        with self.lock:
            hosts = self.pending.get(query, {})
            hosts.pop(host, None)
            if not hosts:
                self.pending.pop(query, None)

    def unregister_query(self, query: QueryId) -> None:
        """Stop waiting for replies to ``query``.

        Later replies are dropped, except booking outcomes, which are reported as late.
        """
        with self.lock:
            self.pending.pop(query, None)

    def deliver(self, host: HostId, reply: Reply | BookReply | ForwardReply) -> None:
        """Put ``reply`` into the inbox that waits for it; report a late booking outcome."""
        with self.lock:
            request = self.pending.get(reply.query, {}).get(host)
        if request is not None:
            request.inbox.put(Delivery(host, reply))
        elif isinstance(reply, BookReply):
            self.on_late_outcome(reply.query, reply.outcome)

    def fail_pending(self, host: HostId) -> None:
        """Put a failed reply into the inbox of each request to ``host``, whose link is lost.

        Requests that ``host`` has answered get one too, and ignore it.
        """
        with self.lock:
            requests = [hosts[host] for hosts in self.pending.values() if host in hosts]
        failure = Unknown(Reason.OWNER_LOST, Step.FORWARD, peer=host)
        for request in requests:
            for reply in _failed_replies(request.message, failure):
                request.inbox.put(Delivery(host, reply))


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
