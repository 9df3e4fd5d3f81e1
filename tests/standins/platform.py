"""A stand-in for the platform: its configuration service and its host list.

The host list lags behind the processes: it changes only when a test publishes another one.
"""

import asyncio
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from tests.standins.http import Exchange, listen


class Platform:
    """Values with revisions that are watched by long polls, and a host list.

    A watch is a read that waits for a revision above the one that the reader has. Unless
    ``frozen_values`` is empty, it is served instead of ``values``. ``previous_values`` holds the
    values before the last change.
    """

    def __init__(self) -> None:
        self.values: dict[str, tuple[int, str]] = {}
        self.hosts: list[dict[str, Any]] = []
        self.pending_watches: list[tuple[str, int, Exchange]] = []
        self.down = False
        self.frozen_values: dict[str, tuple[int, str]] = {}
        self.previous_values: dict[str, tuple[int, str]] = {}
        self.request_count = 0

    def put(self, key: str, value: str) -> int:
        """Store ``value`` and return its new revision; the watches on ``key`` are answered."""
        revision = max((r for r, _ in self.values.values()), default=0) + 1
        self.previous_values = dict(self.values)
        self.values[key] = (revision, value)
        self.answer_watches(key)
        return revision

    def answer_watches(self, key: str) -> None:
        """Answer the watches on ``key`` with its current value, even if it is not newer."""
        for watched, _, exchange in [w for w in self.pending_watches if w[0] == key]:
            self.answer_value(exchange, watched)
        self.pending_watches = [w for w in self.pending_watches if w[0] != key]

    def freeze(self, values: dict[str, tuple[int, str]]) -> None:
        """Serve ``values`` regardless of later changes, and answer all watches with them.

        With an empty dictionary, serve the stored values again.
        """
        self.frozen_values = values
        for key in self.values:
            self.answer_watches(key)

    def set_down(self, down: bool) -> None:
        """Answer requests, pending watches included, with status 503 while ``down`` is set."""
        self.down = down
        for _, _, exchange in self.pending_watches if down else ():
            exchange.answer(503, {"error": "down"})
        self.pending_watches = [] if down else self.pending_watches

    def handle(self, exchange: Exchange) -> None:
        """Answer a request of an entry host."""
        self.request_count += 1
        url = urlsplit(exchange.url)
        if self.down:
            exchange.answer(503, {"error": "down"})
        elif url.path == "/v1/hosts":
            exchange.answer(200, {"hosts": self.hosts})
        else:
            query = parse_qs(url.query)
            key = unquote(url.path.removeprefix("/v1/values/"))
            self.read_value(exchange, key, query)

    def read_value(self, exchange: Exchange, key: str, query: dict[str, list[str]]) -> None:
        """Answer with the value when it is newer than the reader's, or else start a watch.

        A watch that times out is answered with status 204.
        """
        after = int(query.get("after", ["-1"])[0])
        wait = float(query.get("wait_ms", ["0"])[0]) / 1000
        if self.current_value(key)[0] > after:
            self.answer_value(exchange, key)
            return
        watch = (key, after, exchange)
        self.pending_watches.append(watch)

        def expire() -> None:
            if watch in self.pending_watches:
                self.pending_watches.remove(watch)
                exchange.answer(204)

        timer = asyncio.get_running_loop().call_later(wait, expire)
        exchange.on_close = lambda: (timer.cancel(), self.remove_watch(watch))

    def remove_watch(self, watch: tuple[str, int, Exchange]) -> None:
        if watch in self.pending_watches:
            self.pending_watches.remove(watch)

    def current_value(self, key: str) -> tuple[int, str]:
        """Return revision and value as served; the revision of an unknown key is -1."""
        values = self.frozen_values or self.values
        return values.get(key, (-1, ""))

    def answer_value(self, exchange: Exchange, key: str) -> None:
        revision, value = self.current_value(key)
        if revision < 0:
            exchange.answer(404)
        else:
            exchange.answer(200, {"revision": revision, "value": value})

    def handle_control(self, exchange: Exchange) -> None:
        """Run a command of a test; answer any other request with the counts."""
        body = exchange.json() if exchange.body else {}
        match body.get("command"):
            case "put":
                exchange.answer(200, {"revision": self.put(body["key"], body["value"])})
            case "hosts":
                self.hosts = body["hosts"]
                exchange.answer(200, {})
            case "down":
                self.set_down(body["down"])
                exchange.answer(200, {})
            case "freeze":
                values = self.previous_values if body.get("previous") else self.values
                self.freeze(dict(values) if body["freeze"] else {})
                exchange.answer(200, {})
            case _:
                exchange.answer(
                    200,
                    {"requests": self.request_count, "pending_watches": len(self.pending_watches)},
                )


async def serve_platform(platform: Platform, address: str, control: str) -> None:
    """Serve the platform on ``address``, and the commands of tests on ``control``."""
    await listen(address, platform.handle)
    await listen(control, platform.handle_control)
    await asyncio.Event().wait()
