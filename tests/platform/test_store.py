"""Tests for the client of the platform's store, against a server with scripted answers."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

from masticgate import Millis, Revision, SystemClock
from masticgate.platform import _store
from masticgate.platform._store import PlatformStore
from masticgate.process.gateway import (
    Changes,
    Contents,
    HistoryGone,
    PublishedConfiguration,
    Unavailable,
    UnreadableItem,
)
from tests.gateway.loopback import StandInSearcher

from .test_items import CONFIG, ENTRY


def http(status: int, body: object) -> bytes:
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(data), data)


def stored(key: str, value: object) -> dict:
    return {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()}


def query_of(head: bytes) -> dict[str, str]:
    target = head.split(b" ")[1].decode()
    return {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}


def make_store(answer) -> tuple[StandInSearcher, PlatformStore]:
    server = StandInSearcher(answer)
    return server, PlatformStore(server.address, SystemClock())


class TestRead:
    def test_reads_all_pages_and_returns_revision_of_first(self):
        def answer(head):
            if "after" in query_of(head):
                return http(200, {"items": [stored("servers/b", ENTRY)], "currentRev": 9})
            page = [stored("op/config", CONFIG), stored("servers/a", ENTRY)]
            return http(200, {"items": page, "hasMore": True, "currentRev": 7})

        server, store = make_store(answer)
        contents = store.read()
        assert isinstance(contents, Contents)
        assert (len(contents.changes), contents.revision) == (3, 7)
        assert query_of(server.requests[1])["after"] == "servers/a"

    def test_pages_without_end_are_unavailable(self, monkeypatch):
        """Guard against a read that lasts for ever and keeps everything it has read."""
        monkeypatch.setattr(_store, "MAX_PAGES", 20)

        def answer(head):
            key = f"other/{len(server.requests):06d}"
            page = {"items": [stored(key, {})], "hasMore": True, "currentRev": 7}
            return http(200, page)

        server, store = make_store(answer)
        assert store.read() == Unavailable("more than 20 pages")
        assert len(server.requests) == 20

    def test_pages_that_repeat_are_unavailable(self):
        keys = ["servers/a", "servers/b"]

        def answer(head):
            page = [stored(keys[len(server.requests) % 2], ENTRY)]
            return http(200, {"items": page, "hasMore": True, "currentRev": 7})

        server, store = make_store(answer)
        assert isinstance(store.read(), Unavailable)
        assert len(server.requests) <= 3

    def test_listings_without_end_are_read_up_to_a_number(self, monkeypatch):
        """The configuration comes first, so that a flood of listings does not hide it."""
        monkeypatch.setattr(_store, "MAX_SEARCHERS", 100)

        def answer(head):
            start = len(server.requests) * 40
            page = [stored(f"servers/{start + n:06d}", ENTRY) for n in range(40)]
            if "after" not in query_of(head):
                page.insert(0, stored("op/config", CONFIG))
            return http(200, {"items": page, "hasMore": True, "currentRev": 7})

        server, store = make_store(answer)
        contents = store.read()
        assert isinstance(contents, Contents)
        assert isinstance(contents.changes[0], PublishedConfiguration)
        assert contents.changes[-1] == UnreadableItem("", "items after servers/000159: too many")
        assert len(contents.changes) == 122

    def test_error_status_closed_connection_and_invalid_body_are_unavailable(self):
        assert isinstance(make_store(lambda head: http(503, {}))[1].read(), Unavailable)
        assert isinstance(make_store(lambda head: None)[1].read(), Unavailable)
        assert isinstance(make_store(lambda head: http(200, []))[1].read(), Unavailable)


class TestReadTable:
    def test_returns_configuration_without_listings(self):
        server, store = make_store(
            lambda head: http(200, stored("op/config", CONFIG) | {"currentRev": 3})
        )
        published = store.read_table()
        assert isinstance(published, PublishedConfiguration) and published.table.version == 7
        assert query_of(server.requests[0]) == {"key": "op/config"}

    def test_missing_configuration_is_unavailable(self):
        assert isinstance(make_store(lambda head: http(404, {}))[1].read_table(), Unavailable)


class TestWatch:
    def test_returns_events_and_next_revision(self):
        event = {"key": "servers/a", "revision": 8, "removed": True}
        server, store = make_store(lambda head: http(200, {"events": [event], "currentRev": 8}))
        changes = store.watch(Revision(7), Millis(50.0))
        assert isinstance(changes, Changes)
        assert (len(changes.changes), changes.revision) == (1, 8)
        query = query_of(server.requests[0])
        assert (query["after"], query["waitMs"]) == ("7", "50")

    def test_returns_history_gone_for_status_410(self):
        store = make_store(lambda head: http(410, {}))[1]
        assert store.watch(Revision(7), Millis(50.0)) == HistoryGone()

    def test_opens_new_connection_after_lost_answer(self):
        answers = [None, http(200, {"events": [], "currentRev": 8})]
        store = make_store(lambda head: answers.pop(0))[1]
        assert isinstance(store.watch(Revision(7), Millis(50.0)), Unavailable)
        assert isinstance(store.watch(Revision(7), Millis(50.0)), Changes)
