"""A stand-in for searchers: slots, a queue, service times and knobs for faults."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from tests.standins.http import Exchange, listen


@dataclass
class Knobs:
    """What a test may turn; durations in milliseconds, shares from 0 to 1."""

    service_ms: float = 20.0
    spread: str = "exponential"
    spread_share: float = 0.5
    straggler_share: float = 0.0
    straggler_ms: float = 0.0
    loss_share: float = 0.0
    error_share: float = 0.0
    draining: bool = False
    shed_above: int = 1000
    cold_until: float = 0.0
    frozen: bool = False
    lost: bool = False
    held: list[int] = field(default_factory=lambda: [1])
    wrong_version: int = 0
    reported_load: int = -1
    incarnation: str = "1"
    book_then_cut: bool = False
    shards: dict[str, dict[str, list[str]]] = field(default_factory=dict)


class Searcher:
    """One searcher of one service on one address."""

    def __init__(self, name: str, service: str, slots: int, connections: int, knobs: Knobs) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.limit = connections
        self.knobs = knobs
        self.running = 0
        self.queue: deque[Exchange] = deque()
        self.open = 0
        self.counts: dict[str, int] = {}
        self.bookings: list[dict[str, Any]] = []
        self.log: list[dict[str, Any]] = []
        self.random = random.Random(name)
        self.server: asyncio.Server | None = None

    def lose(self) -> None:
        """Refuse connections from now on; whatever is in progress is cut."""
        if self.server is not None:
            self.server.close()

    def count(self, what: str, number: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + number

    def opened(self, change: int) -> None:
        self.open += change
        self.counts["most_open"] = max(self.open, self.counts.get("most_open", 0))

    def handle(self, exchange: Exchange) -> None:
        knobs = self.knobs
        if exchange.url == "/load":
            load = len(self.queue) + self.running
            shown = knobs.reported_load if knobs.reported_load >= 0 else load
            report = {"load": shown, "draining": knobs.draining, "incarnation": knobs.incarnation}
            exchange.answer(200, report)
            return
        if knobs.lost:
            exchange.cut()
            return
        self.count("received")
        if knobs.frozen:
            return
        if knobs.draining:
            self.refuse(exchange, "draining")
        elif asyncio.get_running_loop().time() < knobs.cold_until:
            self.refuse(exchange, "cold")
        elif len(self.queue) >= knobs.shed_above:
            self.refuse(exchange, "shed")
        elif self.random.random() < knobs.loss_share:
            exchange.cut()
        else:
            self.enqueue(exchange)

    def refuse(self, exchange: Exchange, reason: str) -> None:
        self.count(reason)
        exchange.answer(503, {"reason": reason, "incarnation": self.knobs.incarnation})

    def enqueue(self, exchange: Exchange) -> None:
        def drop() -> None:
            if exchange in self.queue:
                self.queue.remove(exchange)
                self.count("cancelled")

        exchange.on_cut = drop
        self.queue.append(exchange)
        self.start_next()

    def start_next(self) -> None:
        while self.queue and self.running < self.slots:
            exchange = self.queue.popleft()
            self.running += 1
            self.count("started")
            loop = asyncio.get_running_loop()
            timer = loop.call_later(self.service_seconds(), self.complete, exchange)
            exchange.on_cut = lambda e=exchange, t=timer: self.cancel(e, t)

    def cancel(self, exchange: Exchange, timer: asyncio.TimerHandle) -> None:
        if not timer.cancelled():
            timer.cancel()
            self.count("cancelled")
            self.running -= 1
            if exchange.url == "/book":
                self.book(exchange)
            self.start_next()

    def service_seconds(self) -> float:
        knobs = self.knobs
        mean = knobs.service_ms / 1000
        seconds = mean
        if knobs.spread == "exponential":
            share = knobs.spread_share
            seconds = mean * (1 - share + share * self.random.expovariate(1.0))
        if self.random.random() < knobs.straggler_share:
            seconds += knobs.straggler_ms / 1000
        return seconds

    def complete(self, exchange: Exchange) -> None:
        exchange.on_cut = None
        self.running -= 1
        if self.knobs.lost:
            exchange.cut()
            return
        self.count("completed")
        if exchange.url == "/book":
            self.answer_booking(exchange)
        elif self.random.random() < self.knobs.error_share:
            exchange.answer(500, {"error": "stand-in"})
        else:
            self.answer_search(exchange)
        self.start_next()

    def book(self, exchange: Exchange) -> dict[str, Any]:
        body = exchange.json()
        record = {"ticket": body["ticket"], "searcher": self.name, "payload": body["payload"]}
        self.bookings.append(record)
        return record

    def answer_booking(self, exchange: Exchange) -> None:
        record = self.book(exchange)
        if self.knobs.book_then_cut:
            exchange.cut()
        else:
            exchange.answer(200, {"booked": len(self.bookings), **record})

    def answer_search(self, exchange: Exchange) -> None:
        body = exchange.json()
        snapshot = body["snapshot"]
        if snapshot not in self.knobs.held:
            self.count("gone")
            exchange.answer(410, {"held": self.knobs.held})
            return
        shards = body["shards"]
        self.log.append({"query": body["query"], "snapshot": snapshot, "shards": shards})
        hits = [
            {
                "id": f"{shard}-{snapshot}",
                "score": (hash_text(f"{shard}{body['text']}") % 1000) / 1000,
                "shard": shard,
                "document": {"shard": shard, "snapshot": snapshot},
            }
            for shard in shards
        ]
        answered = self.knobs.wrong_version or snapshot
        exchange.answer(200, {"snapshot": answered, "shards": shards, "hits": hits})


def hash_text(text: str) -> int:
    """Return the same small number for the same text in every process."""
    return sum(ord(letter) * (index + 7) for index, letter in enumerate(text))


async def serve_searchers(searchers: dict[str, Searcher], control: str) -> None:
    """Serve every searcher on its address, and the knobs of all on ``control``."""

    def handle_control(exchange: Exchange) -> None:
        if exchange.method == "GET":
            logs = exchange.url != "/counts"
            exchange.answer(200, {s.name: describe(s, logs) for s in searchers.values()})
            return
        body = exchange.json()
        for searcher in searchers.values():
            if searcher.name in body["searchers"] or not body["searchers"]:
                for knob, value in body["knobs"].items():
                    setattr(searcher.knobs, knob, value)
                if searcher.knobs.lost:
                    searcher.lose()
        exchange.answer(200, {})

    for address, searcher in searchers.items():
        searcher.server = await listen(address, searcher.handle, searcher.opened)
    await listen(control, handle_control)
    await asyncio.Event().wait()


def describe(searcher: Searcher, logs: bool) -> dict[str, Any]:
    """Return what a test or the bench may count, with the log of searches if asked."""
    return {
        "service": searcher.service,
        "counts": searcher.counts,
        "bookings": searcher.bookings,
        "log": searcher.log[-2000:] if logs else [],
        "open": searcher.open,
    }
