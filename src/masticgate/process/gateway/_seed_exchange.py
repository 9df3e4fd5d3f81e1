"""The task that exchanges heartbeats with one seed."""

from threading import Event
from typing import Protocol

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Address, Millis
from ...connection.gateway import GetTimeouts, HttpClient, HttpResponse
from ._heartbeat_codec import (
    HEARTBEAT_HOST,
    HeartbeatReply,
    SentHeartbeat,
    decode_reply,
    encode_heartbeat,
)

FIRST_HEARTBEAT_DELAY = Millis(50.0)
HEARTBEAT_RETRY_INTERVAL = Millis(250.0)
"""The interval between heartbeats to a seed that does not respond or is not ready.

It is short, so that a starting gateway soon finds the seeds.
"""

QUICK_RETRIES = 20
"""After this many missed heartbeats in a row, the retry interval is that of other heartbeats."""

HEARTBEAT_TIMEOUTS = GetTimeouts(Millis(400.0), Millis(400.0))
"""The timeouts for the connection to a seed, and for its reply to a heartbeat."""

MAX_MISSED_HEARTBEATS = 2
"""A seed no longer counts as a relay after this many missed heartbeats in a row.

A seed that replies that it is not ready is dropped at once.
"""


class HeartbeatSender(Protocol):
    """The state of this gateway that heartbeats report, and that the replies change."""

    def is_seed(self, address: Address) -> bool:
        """Return whether the settings name a seed; if they do not, forget it."""
        ...

    def starting_interval(self, *, has_replied: bool) -> Millis | None:
        """Return the interval while this gateway starts, or ``None`` if it has started.

        ``has_replied`` says whether the seed has replied to the latest heartbeat.
        """
        ...

    def usual_interval(self) -> Millis:
        """Return the interval between heartbeats to a seed that responds."""
        ...

    def make_heartbeat(self, seed: Address, interval: Millis) -> SentHeartbeat:
        """Return the next heartbeat to a seed, which another one follows after ``interval``."""
        ...

    def record_reply(self, seed: Address, reply: HeartbeatReply) -> None:
        """Record the reply of a seed, which may not be ready."""
        ...

    def forget_seed(self, seed: Address) -> None:
        """Forget what a seed stated that is not ready, or does not respond any more."""
        ...


class SeedExchange:
    """The heartbeats to one seed; :meth:`run` is their task.

    The seed names gatherers, and may relay the catalogue, while it replies that it is ready.
    ``misses`` is the number of heartbeats in a row that it did not reply to so, and ``has_replied``
    says whether it replied to the latest one at all. :meth:`hurry` makes the next one due.
    """

    def __init__(self, seed: Address, sender: HeartbeatSender, clock: Clock) -> None:
        self.seed = seed
        self.sender = sender
        self.clock = clock
        self.due = Event()
        self.misses = MAX_MISSED_HEARTBEATS
        self.has_replied = False

    def run(self) -> None:
        """Send heartbeats until the process ends, or the seed is none any more."""
        client = HttpClient(self.seed, self.clock)
        wait = FIRST_HEARTBEAT_DELAY
        while self.sender.is_seed(self.seed):
            self.wait(wait)
            wait = self.next_interval()
            self.handle_reply(self._exchange(client, wait))
        client.close()

    def handle_reply(self, reply: HeartbeatReply | None) -> None:
        """Record the reply to the latest heartbeat, or that there was no valid one."""
        self.has_replied = reply is not None
        if reply is not None:
            self.sender.record_reply(self.seed, reply)
        if reply is not None and reply.is_ready:
            self.misses = 0
            return
        self.misses += 1
        if reply is not None or self.misses >= MAX_MISSED_HEARTBEATS:
            self.misses = max(self.misses, MAX_MISSED_HEARTBEATS)
            self.sender.forget_seed(self.seed)

    def hurry(self) -> None:
        """Send the next heartbeat at once, since the state of this gateway has changed."""
        self.due.set()

    def wait(self, interval: Millis) -> None:
        """Wait for ``interval``, or until :meth:`hurry` is called."""
        self.due.wait(interval / MILLIS_PER_SECOND)
        self.due.clear()

    def next_interval(self) -> Millis:
        """Return the time from the next heartbeat to the one after it."""
        starting = self.sender.starting_interval(has_replied=self.has_replied)
        if starting is not None:
            return starting
        if MAX_MISSED_HEARTBEATS <= self.misses < MAX_MISSED_HEARTBEATS + QUICK_RETRIES:
            return HEARTBEAT_RETRY_INTERVAL
        return self.sender.usual_interval()

    def _exchange(self, client: HttpClient, interval: Millis) -> HeartbeatReply | None:
        """Send one heartbeat; return the decoded reply, or ``None`` if there is no valid one."""
        query = encode_heartbeat(self.sender.make_heartbeat(self.seed, interval))
        response = client.get(HEARTBEAT_HOST, "/", query, HEARTBEAT_TIMEOUTS)
        if not isinstance(response, HttpResponse):
            client.close()
            return None
        return decode_reply(response.body, self.clock.now())
