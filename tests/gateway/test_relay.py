"""Tests for reading the platform's catalogue through other gateways, which relay it."""

import tracemalloc
import zlib
from threading import Event, Thread
from time import sleep

import pytest
from hypothesis import given
from hypothesis import strategies as st

from masticgate import Address, Millis, Revision, SearcherId, ServiceId, SystemClock
from masticgate._ids import HostId, RequestId
from masticgate.connection.gateway import (
    CatalogueUpdate,
    InvalidCatalogueError,
    decode_changes,
    encode_update,
)
from masticgate.process.gateway import (
    Changes,
    Contents,
    HistoryGone,
    PublishedConfiguration,
    SearcherListed,
    SearcherPhase,
    SearcherUnlisted,
    Unavailable,
    UnreadableItem,
    _catalogue_log,
)
from masticgate.process.gateway._catalogue_log import CatalogueLog
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._relay import RelayedSource
from masticgate.request.gateway import Request
from masticgate.version.gateway import Idempotency, Shards, Split, WeightedService

from .fakes import make_entry, make_route, make_table
from .loopback import StandInSearcher

SHARDS = make_route(Shards((ServiceId("s1"), ServiceId("s2")), 3, 0.5))
SPLIT = make_route(
    Split((WeightedService(ServiceId("a"), 3.0),)), Idempotency.NON_IDEMPOTENT, prefix="/b/"
)


def request_catalogue(catalogue: CatalogueLog, query: str = ""):
    target = b"/?" + query.encode()
    request = Request(RequestId(""), b"GET", target, "", (), b"", None, Millis(0.0))
    return catalogue.handle_request(request)


def watch_catalogue(catalogue: CatalogueLog, after: int, wait: int = 0):
    return request_catalogue(catalogue, f"after={after}&epoch={catalogue.epoch}&wait={wait}")


def make_catalogue(age: float = 0.0) -> CatalogueLog:
    catalogue = CatalogueLog(lambda: Millis(age))
    catalogue.add(
        PublishedConfiguration(make_table(SHARDS, SPLIT, make_route(prefix="/c/"), version=7))
    )
    return catalogue


class TestCatalogueLog:
    def test_read_returns_published_state(self):
        catalogue = make_catalogue()
        entry = make_entry("a", phase=SearcherPhase.DRAINING)
        catalogue.add(SearcherListed(entry))
        catalogue.add(SearcherListed(make_entry("b")))
        catalogue.add(SearcherUnlisted(SearcherId("b")))
        update = decode_changes(request_catalogue(catalogue).body)
        number, changes = update.number, update.changes
        table = make_table(SHARDS, SPLIT, make_route(prefix="/c/"), version=7)
        assert number == 4
        assert changes == (PublishedConfiguration(table), SearcherListed(entry))

    def test_watch_returns_later_changes(self):
        catalogue = make_catalogue()
        unreadable = UnreadableItem("servers/x", "no slots", SearcherId("x"))
        catalogue.add(SearcherUnlisted(SearcherId("b")))
        catalogue.add(unreadable)
        update = decode_changes(watch_catalogue(catalogue, 1).body)
        number, changes = update.number, update.changes
        assert (number, changes) == (3, (SearcherUnlisted(SearcherId("b")), unreadable))
        assert decode_changes(watch_catalogue(catalogue, 3).body) == CatalogueUpdate(
            catalogue.epoch, 3, ()
        )

    def test_keeps_only_latest_of_many_configurations(self):
        """Guard against memory that grows with each configuration until the process is killed."""
        catalogue = make_catalogue()
        routes = [make_route(prefix=f"/{number}/") for number in range(50)]
        tracemalloc.start()
        for version in range(8, 308):
            catalogue.add(PublishedConfiguration(make_table(*routes, version=version)))
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert held < 1_000_000
        assert (catalogue.number, len(catalogue.changes)) == (301, 301)

    def test_watch_returns_latest_configuration_and_all_other_changes(self):
        catalogue = make_catalogue()
        one, two, three = (make_table(SHARDS, version=version) for version in (8, 9, 10))
        listed = SearcherListed(make_entry("a")), SearcherListed(make_entry("b"))
        for change in (
            PublishedConfiguration(one),
            listed[0],
            PublishedConfiguration(two),
            listed[1],
        ):
            catalogue.add(change)
        update = decode_changes(watch_catalogue(catalogue, 1).body)
        assert update.changes == (listed[0], PublishedConfiguration(two), listed[1])
        catalogue.add(PublishedConfiguration(three))
        assert decode_changes(watch_catalogue(catalogue, 5).body).changes == (
            PublishedConfiguration(three),
        )

    def test_configuration_after_more_changes_than_are_kept(self):
        catalogue = make_catalogue()
        for number in range(2_100):
            catalogue.add(SearcherUnlisted(SearcherId(str(number))))
        table = make_table(SHARDS, version=9)
        catalogue.add(PublishedConfiguration(table))
        update = decode_changes(watch_catalogue(catalogue, 2_100).body)
        assert update.changes == (
            SearcherUnlisted(SearcherId("2099")),
            PublishedConfiguration(table),
        )

    # Guards against thousands of whole configurations in memory after as many changes (FAULT).
    def test_keeps_latest_configuration_only(self):
        catalogue = make_catalogue()
        catalogue.add(SearcherListed(make_entry("a")))
        for version in range(8, 1_008):
            table = make_table(SHARDS, version=version)
            catalogue.add(PublishedConfiguration(table))
        assert sum("table" in str(change.value) for change in catalogue.changes) == 1
        update = decode_changes(watch_catalogue(catalogue, 1).body)
        assert update.changes == (SearcherListed(make_entry("a")), PublishedConfiguration(table))
        assert update.number == 1_002
        behind = decode_changes(watch_catalogue(catalogue, 1_000).body)
        assert behind.changes == (PublishedConfiguration(table),)

    # Guards against the texts of many gateways that read the whole catalogue at once, each of
    # which took the processor for long and many times the memory of the reply.
    def test_reads_at_once_share_one_text(self, monkeypatch):
        catalogue, bodies, calls = make_catalogue(), [], []

        def encode(*arguments, **options):
            calls.append(arguments)
            sleep(0.02)
            return encode_update(*arguments, **options)

        def read():
            bodies.append(request_catalogue(catalogue, "compressed=1").body)

        monkeypatch.setattr(_catalogue_log, "encode_update", encode)
        readers = [Thread(target=read) for _ in range(8)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        assert len(calls) == 1
        assert len({id(body) for body in bodies}) == 1
        catalogue.add(SearcherListed(make_entry("a")))
        read()
        assert len(decode_changes(bodies[-1]).changes) == 2

    # Guards against the texts of many gateways that wait for the same large configuration.
    def test_watches_of_the_same_change_share_one_text(self):
        catalogue = make_catalogue()
        catalogue.add(SearcherListed(make_entry("a")))
        first = watch_catalogue(catalogue, 1).body
        assert watch_catalogue(catalogue, 1).body is first
        assert len(decode_changes(watch_catalogue(catalogue, 0).body).changes) == 2
        assert watch_catalogue(catalogue, 1).body == first
        catalogue.add(SearcherListed(make_entry("b")))
        assert len(decode_changes(watch_catalogue(catalogue, 1).body).changes) == 2

    def test_rejects_watch_after_restart_or_lost_changes(self):
        catalogue = make_catalogue()
        assert request_catalogue(catalogue, "after=1&epoch=other&wait=0").status == 410
        for number in range(2_100):  # More changes than a relay keeps.
            catalogue.add(SearcherUnlisted(SearcherId(str(number))))
        assert watch_catalogue(catalogue, 1).status == 410

    def test_serves_nothing_while_platform_is_unavailable(self):
        assert request_catalogue(make_catalogue(age=3_000.0)).status == 503
        assert watch_catalogue(make_catalogue(age=3_000.0), 1).status == 503


class TestCodec:
    def test_contents_are_compressed_for_gateways_that_ask_for_it(self):
        catalogue = make_catalogue()
        for number in range(200):
            catalogue.add(SearcherListed(make_entry(f"s{number}")))
        plain = request_catalogue(catalogue).body
        compressed = request_catalogue(catalogue, "compressed=1").body
        assert len(compressed) < len(plain) / 5
        assert decode_changes(compressed) == decode_changes(plain)

    def test_truncated_or_endless_compressed_contents_are_invalid(self):
        compressed = request_catalogue(make_catalogue(), "compressed=1").body
        bomb = zlib.compress(b"{" + bytes(40_000_000))
        for body in (compressed[:-1], compressed[: len(compressed) // 2], bomb):
            with pytest.raises(InvalidCatalogueError):
                decode_changes(body)

    def test_small_body_that_decodes_to_a_large_update_takes_bounded_memory(self):
        """Guard against 30 kB of another gateway that take much of the memory of the process."""
        text = b'{"epoch":"e","number":1,"changes":[],"more":"%s"}' % (b"x" * 31_000_000)
        body = zlib.compress(text)
        del text
        tracemalloc.start()
        with pytest.raises(InvalidCatalogueError):
            decode_changes(body)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert peak < 48_000_000

    def test_update_of_all_searchers_of_the_target_is_decoded(self):
        catalogue = make_catalogue()
        for number in range(22_000):
            catalogue.add(SearcherListed(make_entry(f"i-{number:010x}", f"service-{number:06}")))
        update = decode_changes(request_catalogue(catalogue, "compressed=1").body)
        assert len(update.changes) == 22_001

    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_raise_only_invalid_catalogue_error(self, data):
        try:
            decode_changes(data)
        except InvalidCatalogueError:
            return


class FixedPlatform:
    """A platform that counts the reads of its catalogue, which is empty.

    Only ``read_table`` returns a configuration.
    """

    def __init__(self) -> None:
        self.reads = 0
        self.table = make_table(SHARDS)

    def read_table(self):
        return PublishedConfiguration(self.table)

    def read(self):
        self.reads += 1
        return Contents((), Revision(50))

    def watch(self, after, wait):
        return Changes((), after)


def make_source(answer):
    """Return a source, the platform that it reads, and the list of its relays.

    The only relay responds to a request head with ``answer(head)``. The test may change the list.
    """
    server = StandInSearcher(answer)
    relays: list[Address] = [server.address]
    platform = FixedPlatform()
    log = EventLog(HostId("g"), SystemClock())
    wait = Event().wait
    source = RelayedSource(platform, lambda: relays, SystemClock(), log, wait)
    return source, platform, relays


def http_response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class TestRelayedSource:
    def test_reads_and_watches_relay(self):
        catalogue = make_catalogue()
        source, platform, _ = make_source(
            lambda head: http_response(200, request_catalogue(catalogue).body)
        )
        contents = source.read()
        assert isinstance(contents, Contents) and contents.revision == 1
        changes = source.watch(Revision(1), Millis(10.0))
        assert isinstance(changes, Changes)
        assert platform.reads == 0

    def test_reads_platform_if_relay_refuses(self):
        source, platform, _ = make_source(
            lambda head: http_response(503, b"the platform is unavailable")
        )
        assert source.read() == Contents((), Revision(50))
        assert platform.reads == 1

    def test_failed_watch_of_relay_requires_new_read(self):
        answers = [http_response(200, request_catalogue(make_catalogue()).body), None]
        source, platform, relays = make_source(lambda head: answers.pop(0))
        source.read()
        assert source.watch(Revision(1), Millis(10.0)) == HistoryGone()
        relays.clear()
        assert not isinstance(source.read(), Unavailable)
        assert platform.reads == 1

    def test_stops_watching_gateway_that_no_longer_relays(self):
        source, _, relays = make_source(
            lambda head: http_response(200, request_catalogue(make_catalogue()).body)
        )
        source.read()
        relays.clear()
        assert source.watch(Revision(1), Millis(10.0)) == HistoryGone()

    def test_starting_gateway_reads_small_deployment_from_platform_at_once(self):
        source, platform, relays = make_source(lambda head: http_response(503, b""))
        relays.clear()
        waits = []
        source.wait = waits.append
        source.read()
        assert (platform.reads, waits) == (1, [])

    def test_starting_gateway_waits_for_relay_in_large_deployment(self):
        source, platform, relays = make_source(
            lambda head: http_response(200, request_catalogue(make_catalogue()).body)
        )
        names = tuple(ServiceId(f"s{number}") for number in range(120))
        platform.table = make_table(make_route(Shards(names, 3, 0.5)))
        address = relays.pop()
        source.wait = lambda seconds: relays.append(address)
        source.read()
        assert platform.reads == 0

    def test_starting_gateway_serves_by_configuration_while_it_waits(self):
        """Guard against a wait of up to 800 ms without any configuration.

        The configuration is read with one call, which the store prices.
        """
        source, platform, relays = make_source(lambda head: http_response(503, b""))
        names = tuple(ServiceId(f"s{number}") for number in range(120))
        platform.table = make_table(make_route(Shards(names, 3, 0.5)))
        relays.clear()
        events = []
        read_table = platform.read_table
        platform.read_table = lambda: events.append("call") or read_table()
        source.handle_table = lambda published: events.append(published.table)
        source.wait = lambda seconds: events.append("wait")
        source.read()
        assert events[:3] == ["call", platform.table, "wait"]
        assert (events.count("call"), platform.reads) == (1, 1)

    def test_starting_gateway_without_configuration_waits_for_relay(self):
        source, platform, relays = make_source(
            lambda head: http_response(200, request_catalogue(make_catalogue()).body)
        )
        platform.read_table = lambda: Unavailable("no configuration")
        address = relays.pop()
        source.wait = lambda seconds: relays.append(address)
        source.read()
        assert platform.reads == 0

    def test_reads_platform_if_no_relay_appears(self):
        source, platform, relays = make_source(lambda head: http_response(503, b""))
        platform.read_table = lambda: Unavailable("no configuration")
        relays.clear()
        source.read()
        assert platform.reads == 1

    def test_switches_to_relay_found_later(self):
        source, platform, relays = make_source(
            lambda head: http_response(200, request_catalogue(make_catalogue()).body)
        )
        address = relays.pop()
        source.startup_wait_over = True
        source.read()
        assert isinstance(source.watch(Revision(50), Millis(1.0)), Changes)
        relays.append(address)
        assert isinstance(source.watch(Revision(50), Millis(1.0)), Changes)
        source.relay_retry_at = Millis(0.0)
        assert source.watch(Revision(50), Millis(1.0)) == HistoryGone()
