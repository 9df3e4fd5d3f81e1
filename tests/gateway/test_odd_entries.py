"""Guard against entries of another writer that stop the reading of the platform's catalogue.

Other operators reported an entry that was nested very deeply, held a number that is too large, or a
port out of range; the hosts that read the list ended again and again, or no longer followed it.
"""

import base64
import json
import tracemalloc
from dataclasses import replace
from threading import Event
from time import monotonic

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from masticgate import ManualClock, SystemClock
from masticgate.connection.gateway import InvalidCatalogueError, decode_changes, encode_change
from masticgate.connection.gateway._request_decoding import _parse_millis
from masticgate.platform._items import decode_item
from masticgate.platform._node_file import InvalidNodeFile, read_node_file
from masticgate.platform._store import PlatformStore
from masticgate.process.gateway import SearcherListed, UnreadableItem
from masticgate.process.gateway._gateway import Gateway
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.process.gateway._supervisor import Supervisor

from .fakes import HEADER_NAMES, make_settings
from .loopback import RawCaller, StandInSearcher, reply_to

MAX_DECODE_S = 0.5
"""The time limit for decoding one odd value of up to 200 kB."""

MAX_DECODE_BYTES = 8_000_000
"""The memory limit for decoding one odd value of up to 200 kB."""

ENTRY = {
    "service": "orders",
    "address": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 1,
}
DEEP = "[" * 50_000 + "]" * 50_000
HUGE = "9" * 400
ODD_VALUES = [
    json.dumps(ENTRY)[:-1] + f', "more": {DEEP}}}',
    *(json.dumps(ENTRY).replace('"coldRemainingMs": 0', f'"coldRemainingMs": {value}')
      for value in (HUGE, "1e999", "NaN", "Infinity", "-1", "9" * 5_000, '"0"', "null")),
    *(json.dumps(ENTRY).replace('"slots": 2', f'"slots": {value}')
      for value in ("9" * 30, "0", "-2", "2.5", "true", HUGE)),
    *(json.dumps(ENTRY).replace('"born": 1', f'"born": {value}') for value in (HUGE, "-1", "1e3")),
    *(json.dumps(ENTRY).replace("127.0.0.1:9", value)
      for value in ("127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:\u0669",
                    "127.0.0.1:" + HUGE, "host:9", "127.0.0.1", ":9", "127.0.0.1:9\\n")),
    *(json.dumps(ENTRY).replace('"orders"', f'"{value}"')
      for value in ("\\ud800", "a\\nb", "\\u0000", "x" * 2_000)),
    *(json.dumps(ENTRY).replace('"z1"', f'"{value}"') for value in ("\\ud800", "a\\r\\nb")),
    "[]", "null", "7", "", "\x00", '"' + "x" * 200_000 + '"', "{" * 100_000,
]  # fmt: skip


def stored(key: str, value: str) -> dict:
    data = value.encode("utf-8", "surrogatepass")
    return {"key": key, "value": base64.b64encode(data).decode(), "revision": 5}


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=12,
)


class TestItems:
    @pytest.mark.parametrize("number", range(len(ODD_VALUES)))
    def test_odd_entry_is_unreadable_within_time_and_memory(self, number):
        item = stored("servers/i-1", ODD_VALUES[number])
        tracemalloc.start()
        started_at = monotonic()
        change = decode_item(item)
        duration = monotonic() - started_at
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert isinstance(change, UnreadableItem) and change.searcher == "i-1"
        assert len(change.detail) < 1_000
        assert duration < MAX_DECODE_S and peak < MAX_DECODE_BYTES

    @pytest.mark.parametrize(
        "key", ["servers/\ud800", "servers/a\r\nb", "servers/\u0661", "k" * 2_000]
    )
    def test_odd_key_names_no_searcher(self, key):
        change = decode_item({"key": key, "value": "e30="})
        assert isinstance(change, UnreadableItem) and change.searcher is None

    @given(st.fixed_dictionaries({}, optional=dict.fromkeys(ENTRY, JSON_VALUES)))
    def test_entry_with_any_fields_is_decoded_or_unreadable(self, fields):
        text = json.dumps(ENTRY | fields)
        change = decode_item(stored("servers/i-1", text))
        assert isinstance(change, UnreadableItem | SearcherListed)
        if isinstance(change, SearcherListed):
            encoded = json.dumps({"epoch": "e", "number": 1, "changes": [encode_change(change)]})
            assert decode_changes(encoded.encode()).changes == (change,)

    @given(
        st.sampled_from(["version", "routes", "services", "limits"]),
        JSON_VALUES | st.lists(st.dictionaries(st.sampled_from(
            ["name", "hostname", "prefix", "type", "fanoutServices", "trafficSplit", "service",
             "maxAttempts", "timeoutMs", "topK", "minShardRatio", "weight", "maxConnections"]),
            JSON_VALUES, max_size=13), max_size=3),
    )  # fmt: skip
    def test_configuration_with_any_part_raises_no_error(self, name, value):
        config = {"version": 1, "routes": [], "services": [], "limits": {}} | {name: value}
        decode_item(stored("op/config", json.dumps(config)))


class TestRelayedItems:
    @pytest.mark.parametrize("number", range(len(ODD_VALUES)))
    def test_odd_entry_in_update_is_invalid(self, number):
        listed = {"id": "i", "service": "s", "address": "127.0.0.1:9", "domain": "z", "slots": 1,
                  "phase": "ready", "cold": 0, "born": 1}  # fmt: skip
        for name in listed:
            body = json.dumps({"epoch": "e", "number": 1, "changes": [{"listed": listed}]})
            text = body.replace(f'"{name}": {json.dumps(listed[name])}', f'"{name}": {DEEP[:9]}')
            with pytest.raises(InvalidCatalogueError):
                decode_changes(text.encode())
        with pytest.raises(InvalidCatalogueError):
            decode_changes(ODD_VALUES[number].encode("utf-8", "surrogatepass"))

    @given(JSON_VALUES)
    def test_any_change_raises_only_invalid_catalogue_error(self, value):
        body = json.dumps({"epoch": "e", "number": 1, "changes": value}).encode()
        try:
            decode_changes(body)
        except InvalidCatalogueError:
            return


class TestSettingsFile:
    @pytest.mark.parametrize("text", ["a = " + DEEP, "a = " + HUGE * 20, "\x00", "[limits]\n" * 3])
    def test_odd_settings_are_invalid(self, tmp_path, text):
        path = tmp_path / "settings.toml"
        path.write_text(text)
        assert isinstance(read_node_file(path, None), InvalidNodeFile)

    @settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
    @given(st.binary(max_size=200))
    def test_any_bytes_are_invalid(self, tmp_path, data):
        path = tmp_path / "settings.toml"
        path.write_bytes(data)
        assert isinstance(read_node_file(path, None), InvalidNodeFile)


class ScriptedStore:
    """A stand-in store: the first read has ``items``, each watch returns the next of ``events``."""

    def __init__(self, items: list[dict], events: list[list[dict]]) -> None:
        self.items = items
        self.events = events
        self.server = StandInSearcher(self._answer)

    def _answer(self, head: bytes) -> bytes:
        path = head.split(b" ")[1]
        if path.startswith(b"/v1/kv-watch"):
            body = {"events": self.events.pop(0) if self.events else [], "currentRev": 7}
        elif path.startswith(b"/v1/kv-key"):
            body = self.items[0] | {"currentRev": 7}
        else:
            body = {"items": self.items, "hasMore": False, "currentRev": 7}
        data = json.dumps(body).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)


CONFIG = {
    "version": 1,
    "routes": [{"name": "r", "hostname": "host.example", "prefix": "/a/", "type": "idempotent",
                "service": "orders", "timeoutMs": 400, "targetLatencyMs": 100, "maxAttempts": 2}],
    "services": [{"name": "orders", "maxConnections": 25}],
    "limits": {},
}  # fmt: skip


class TestWholeGateway:
    def test_follows_the_store_past_odd_entries(self):
        """The sound entries beside odd ones are used, and later changes are applied."""
        first = StandInSearcher(lambda head: reply_to(head, b"first"))
        second = StandInSearcher(lambda head: reply_to(head, b"second"))
        odd = [stored(f"servers/odd-{n}", value) for n, value in enumerate(ODD_VALUES)]
        sound = stored("servers/i-1", json.dumps(ENTRY | {"address": first.address}))
        later = [*odd, stored("servers/i-2", json.dumps(ENTRY | {"address": second.address}))]
        gone = [{"key": "servers/i-1", "revision": 6, "removed": True}]
        items = [stored("op/config", json.dumps(CONFIG)), *odd, sound]
        store = ScriptedStore(items, [later, [*odd, *gone]])
        settings_ = replace(make_settings(), store_address=store.server.address)
        source = PlatformStore(settings_.store_address, SystemClock())
        gateway = Gateway(settings_, HEADER_NAMES, source)
        gateway.log.descriptor = -1
        gateway.start()
        try:
            deadline = monotonic() + 10.0
            bodies = []
            while (not bodies or bodies[-1] != b"second") and monotonic() < deadline:
                bodies.append(RawCaller(gateway).get().read()[2])
                gateway.ended.wait(0.05)
            assert b"first" in bodies and bodies[-1] == b"second"
            assert "tasks_failed" not in gateway.metrics.counters
            assert gateway.metrics.counters["unreadable_items"] >= len(ODD_VALUES)
        finally:
            gateway.stopping.set()
            gateway.ended.set()
            gateway.follower.stop()
            gateway.log.stop()
            for listener in gateway.listeners:
                listener.stop()


class TestSupervisor:
    def test_restarts_a_task_that_ends_by_an_error_and_logs_it(self):
        log, metrics = EventLog(make_settings().host, ManualClock()), Metrics()
        runs = []

        def run() -> None:
            runs.append(None)
            if len(runs) < 3:
                raise RecursionError("too deep")

        Supervisor(log, metrics, Event()).run(run)
        assert len(runs) == 3
        assert metrics.counters["tasks_failed"] == 2
        assert "too deep" in log.queue[0] and "test_odd_entries.py" in log.queue[0]


class TestCallerTimeout:
    def test_timeout_with_too_many_digits_is_ignored(self):
        """Guard against an infinite timeout that ends the logging of other callers' requests."""
        assert _parse_millis(HUGE.encode()) is None
        assert _parse_millis(b"400") == 400.0
