"""A stand-in for searchers, with slots, a queue, random service times and faults set by a test.

A slot is the capacity to run one request at a time.
"""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from tests.standins.http import Exchange, listen


@dataclass
class Behaviour:
    """How a searcher treats requests; a test may change each field while the searcher runs.

    Durations are in milliseconds, and shares are from 0 to 1. Requests for the searcher's load are
    always answered.
    """

    service_ms: float = 20.0
    """The mean service time, without the delay of stragglers."""

    spread: str = "exponential"
    """The distribution of service times: "exponential", or "fixed" if all are the mean."""

    spread_share: float = 0.5
    """The share of the mean that varies exponentially; the rest is constant."""

    straggler_share: float = 0.0
    """The share of requests that take ``straggler_ms`` longer."""

    straggler_ms: float = 0.0

    loss_share: float = 0.0
    """The share of requests whose connection is closed on arrival, without an answer."""

    error_share: float = 0.0
    """The share of searches that are answered with status 500."""

    draining: bool = False
    """Whether the searcher reports that it is draining, and refuses requests for this reason."""

    shed_above: int = 1000
    """Refuse a request as shed, for overload, when at least this many are in the queue."""

    cold_until: float = 0.0
    """Refuse requests as cold (not warmed up) until this time of the event loop, in seconds."""

    frozen: bool = False
    """Whether new requests are received but never answered."""

    lost: bool = False
    """Whether connections are refused, and no search or booking is answered on open ones.

    The connection of a new request is closed at once, and that of a running one when its service
    time is over. Setting the field back does not open the server again.
    """

    held: list[int] = field(default_factory=lambda: [1])
    """The versions of the snapshots that the searcher holds; it answers 410 for others."""

    wrong_version: int = 0
    """The version named in answers to searches; if 0, it is the requested one."""

    reported_load: int = -1
    """The reported number of queued and running requests; if negative, the true one is reported."""

    incarnation: str = "1"
    """The id of the searcher's process in reports and refusals; it changes with a restart."""

    close_after_booking: bool = False
    """Whether a booking is carried out, but its connection closed without an answer."""

    shards: dict[str, dict[str, list[str]]] = field(default_factory=dict)


class Searcher:
    """One searcher of one service on one address.

    ``counts`` holds the number of requests by what happened to them, and the largest number of
    connections that were open at once. ``search_log`` holds the searches answered with hits.
    """

    def __init__(
        self, searcher_id: str, service: str, slots: int, connections: int, behaviour: Behaviour
    ) -> None:
        self.searcher_id = searcher_id
        self.service = service
        self.slots = slots
        self.connection_limit = connections
        self.behaviour = behaviour
        self.running = 0
        self.queue: deque[Exchange] = deque()
        self.open_connections = 0
        self.counts: dict[str, int] = {}
        self.bookings: list[dict[str, Any]] = []
        self.search_log: list[dict[str, Any]] = []
        self.random = random.Random(searcher_id)
        self.server: asyncio.Server | None = None

    def close_server(self) -> None:
        """Refuse new connections; on open ones, requests end as ``Behaviour.lost`` says."""
        if self.server is not None:
            self.server.close()

    def count(self, event: str, number: int = 1) -> None:
        self.counts[event] = self.counts.get(event, 0) + number

    def record_connection_change(self, change: int) -> None:
        """Record that a connection opened (1) or closed (-1)."""
        self.open_connections += change
        self.counts["most_open"] = max(self.open_connections, self.counts.get("most_open", 0))

    def handle(self, exchange: Exchange) -> None:
        """Answer a request for the load; refuse, lose, ignore or queue any other request."""
        behaviour = self.behaviour
        if exchange.url == "/load":
            load = len(self.queue) + self.running
            reported_load = behaviour.reported_load if behaviour.reported_load >= 0 else load
            report = {
                "load": reported_load,
                "draining": behaviour.draining,
                "incarnation": behaviour.incarnation,
            }
            exchange.answer(200, report)
            return
        if behaviour.lost:
            exchange.close()
            return
        self.count("received")
        if behaviour.frozen:
            return
        if behaviour.draining:
            self.refuse(exchange, "draining")
        elif asyncio.get_running_loop().time() < behaviour.cold_until:
            self.refuse(exchange, "cold")
        elif len(self.queue) >= behaviour.shed_above:
            self.refuse(exchange, "shed")
        elif self.random.random() < behaviour.loss_share:
            exchange.close()
        else:
            self.enqueue(exchange)

    def refuse(self, exchange: Exchange, reason: str) -> None:
        """Answer that the request was not run, and count it under ``reason``."""
        self.count(reason)
        exchange.answer(503, {"reason": reason, "incarnation": self.behaviour.incarnation})

    def enqueue(self, exchange: Exchange) -> None:
        """Queue a request; it is removed if its connection closes before it is started."""

        def remove_from_queue() -> None:
            if exchange in self.queue:
                self.queue.remove(exchange)
                self.count("cancelled")

        exchange.on_close = remove_from_queue
        self.queue.append(exchange)
        self.start_next()

    def start_next(self) -> None:
        """Start queued requests while slots are free."""
        while self.queue and self.running < self.slots:
            exchange = self.queue.popleft()
            self.running += 1
            self.count("started")
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self.service_seconds(), self.complete, exchange)
            exchange.on_close = lambda e=exchange, t=timer: self.cancel(e, t)

    def cancel(self, exchange: Exchange, timer: asyncio.TimerHandle) -> None:
        """End a running request whose connection closed; a booking is carried out anyway."""
        if not timer.cancelled():
            timer.cancel()
            self.count("cancelled")
            self.running -= 1
            if exchange.url == "/book":
                self.record_booking(exchange)
            self.start_next()

    def service_seconds(self) -> float:
        """Draw the service time of a request."""
        behaviour = self.behaviour
        mean = behaviour.service_ms / 1000
        seconds = mean
        if behaviour.spread == "exponential":
            share = behaviour.spread_share
            seconds = mean * (1 - share + share * self.random.expovariate(1.0))
        if self.random.random() < behaviour.straggler_share:
            seconds += behaviour.straggler_ms / 1000
        return seconds

    def complete(self, exchange: Exchange) -> None:
        """Answer a request whose service time is over, or close its connection."""
        exchange.on_close = None
        self.running -= 1
        if self.behaviour.lost:
            exchange.close()
            return
        self.count("completed")
        if exchange.url == "/book":
            self.answer_booking(exchange)
        elif self.random.random() < self.behaviour.error_share:
            exchange.answer(500, {"error": "stand-in"})
        else:
            self.answer_search(exchange)
        self.start_next()

    def record_booking(self, exchange: Exchange) -> dict[str, Any]:
        """Record that a booking was carried out, and return the record."""
        body = exchange.json()
        record = {
            "ticket": body["ticket"],
            "searcher": self.searcher_id,
            "payload": body["payload"],
        }
        self.bookings.append(record)
        return record

    def answer_booking(self, exchange: Exchange) -> None:
        """Carry out a booking and answer it; with ``close_after_booking``, do not answer."""
        record = self.record_booking(exchange)
        if self.behaviour.close_after_booking:
            exchange.close()
        else:
            exchange.answer(200, {"booked": len(self.bookings), **record})

    def answer_search(self, exchange: Exchange) -> None:
        """Answer with one hit per shard, or with 410 when the snapshot is not held."""
        body = exchange.json()
        snapshot = body["snapshot"]
        if snapshot not in self.behaviour.held:
            self.count("gone")
            exchange.answer(410, {"held": self.behaviour.held})
            return
        shards = body["shards"]
        self.search_log.append({"query": body["query"], "snapshot": snapshot, "shards": shards})
        hits = [
            {
                "id": f"{shard}-{snapshot}",
                "score": (hash_text(f"{shard}{body['text']}") % 1000) / 1000,
                "shard": shard,
                "document": {"shard": shard, "snapshot": snapshot},
            }
            for shard in shards
        ]
        answered_snapshot = self.behaviour.wrong_version or snapshot
        exchange.answer(200, {"snapshot": answered_snapshot, "shards": shards, "hits": hits})


def hash_text(text: str) -> int:
    """Return a number for ``text`` that is the same in every process, unlike ``hash``."""
    return sum(ord(letter) * (index + 7) for index, letter in enumerate(text))


async def serve_searchers(searchers: dict[str, Searcher], control: str) -> None:
    """Serve each searcher on its address, and control calls of tests on ``control``.

    A GET returns the reports of all searchers, and a POST changes the behaviour of some or all.
    """

    def handle_control(exchange: Exchange) -> None:
        if exchange.method == "GET":
            include_search_log = exchange.url != "/counts"
            exchange.answer(
                200, {s.searcher_id: make_report(s, include_search_log) for s in searchers.values()}
            )
            return
        body = exchange.json()
        for searcher in searchers.values():
            if searcher.searcher_id in body["searchers"] or not body["searchers"]:
                for setting, value in body["behaviour"].items():
                    setattr(searcher.behaviour, setting, value)
                if searcher.behaviour.lost:
                    searcher.close_server()
        exchange.answer(200, {})

    for address, searcher in searchers.items():
        searcher.server = await listen(address, searcher.handle, searcher.record_connection_change)
    await listen(control, handle_control)
    await asyncio.Event().wait()


def make_report(searcher: Searcher, include_search_log: bool) -> dict[str, Any]:
    """Return counts and bookings of a searcher for a test or the bench.

    The last 2,000 entries of its search log are included when ``include_search_log`` is set.
    """
    return {
        "service": searcher.service,
        "counts": searcher.counts,
        "bookings": searcher.bookings,
        "search_log": searcher.search_log[-2000:] if include_search_log else [],
        "open": searcher.open_connections,
    }
