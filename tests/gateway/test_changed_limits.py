"""The limits on a caller's requests, after a configuration that changes them.

Guards against a connection that keeps the limits of its start: requests that the configuration in
force allows were refused with 413 or 431 for as long as their callers kept their connections.
"""

import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from threading import Event

import pytest

from masticgate import Millis, SystemClock
from masticgate.connection.gateway import CallerSettings
from masticgate.connection.gateway._caller import CallerConnection
from masticgate.process.gateway import PublishedConfiguration
from masticgate.request.gateway import LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_table, patient_route
from .loopback import RawCaller, StandInSearcher, reply_to, running_gateway
from .test_buffers import connect_pair

LOW = Limits(header_bytes=8_192, body_bytes=65_536)
HIGH = Limits(header_bytes=16_384, body_bytes=262_144)
SETTLING_S = 0.1
"""The time in which a connection receives what was sent; a test waits only before a change."""


def make_request(head_bytes: int = 0, body_bytes: int = 0) -> bytes:
    """Return a request with a header of ``head_bytes`` and a body of ``body_bytes``."""
    lines = b"POST /a/x HTTP/1.1\r\nHost: host.example\r\nX-Id: q1\r\nX-Long: %s\r\n"
    return lines % (b"v" * head_bytes) + b"Content-Length: %d\r\n\r\n%s" % (
        body_bytes,
        bytes(body_bytes),
    )


SMALL = make_request()
LONG_HEAD, LONG_BODY = make_request(head_bytes=12_000), make_request(body_bytes=100_000)
REQUESTS = pytest.mark.parametrize(
    ("request_bytes", "refusal"), [(LONG_HEAD, 431), (LONG_BODY, 413)], ids=["head", "body"]
)
HALVES = pytest.mark.parametrize(
    ("request_bytes", "first_bytes"),
    [(LONG_HEAD, 6_000), (LONG_BODY, 20), (LONG_BODY, 50_000)],
    ids=["within-head", "before-body", "within-body"],
)


class ChangingLimits:
    """A connection whose limits the test changes; each request is answered with 200."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        near, self.far = connect_pair()
        self.far.settimeout(10)
        settings = CallerSettings(
            lambda request, inbox: LocalPage(200, b"served"),
            HEADER_NAMES,
            SystemClock(),
            lambda: self.limits,
            lambda: False,
        )
        threading.Thread(target=CallerConnection(near, settings).run, daemon=True).start()

    def send(self, data: bytes) -> None:
        self.far.sendall(data)

    def read_statuses(self, count: int = 1) -> list[int]:
        """Return the statuses of the next replies, fewer if the connection ends."""
        received = b""
        while received.count(b"HTTP/1.1 ") < count or not received.endswith(b"served"):
            chunk = self.far.recv(65_536)
            if not chunk:
                break
            received += chunk
        return [int(part[:3]) for part in received.split(b"HTTP/1.1 ")[1:]]


@contextmanager
def connection(limits: Limits) -> Iterator[ChangingLimits]:
    caller = ChangingLimits(limits)
    yield caller
    caller.far.close()


class TestKeptConnections:
    @REQUESTS
    def test_higher_limits_allow_more(self, request_bytes, refusal):
        with connection(LOW) as caller:
            caller.send(SMALL)
            assert caller.read_statuses() == [200]
            caller.limits = HIGH
            caller.send(request_bytes)
            assert caller.read_statuses() == [200]

    @REQUESTS
    def test_lower_limits_allow_less(self, request_bytes, refusal):
        with connection(HIGH) as caller:
            caller.send(request_bytes)
            assert caller.read_statuses() == [200]
            caller.limits = LOW
            caller.send(request_bytes)
            assert caller.read_statuses() == [refusal]

    @REQUESTS
    def test_limits_in_force_hold_for_first_request(self, request_bytes, refusal):
        """Guard against those from before the first configuration, on a connection of that time."""
        with connection(HIGH) as caller:
            Event().wait(SETTLING_S)
            caller.limits = LOW
            caller.send(request_bytes)
            assert caller.read_statuses() == [refusal]

    @REQUESTS
    def test_configuration_changes_limits_of_gateway(self, request_bytes, refusal):
        searcher = StandInSearcher(reply_to)
        with running_gateway([patient_route()], {"orders": [searcher]}) as gateway:
            kept = RawCaller(gateway)
            for version, limits, status in ((2, LOW, refusal), (3, HIGH, 200), (4, LOW, refusal)):
                table = make_table(patient_route(), version=version)
                gateway.follower.apply_early(PublishedConfiguration(replace(table, limits=limits)))
                kept.send(SMALL)
                assert kept.read()[0] == 200
                kept.send(request_bytes)
                assert kept.read()[0] == status
                if status != 200:
                    kept = RawCaller(gateway)


class TestHalfReceivedRequests:
    """A request that is received as the limits change may have what either allow."""

    @HALVES
    def test_lower_limits_do_not_refuse_it(self, request_bytes, first_bytes):
        with connection(HIGH) as caller:
            caller.send(request_bytes[:first_bytes])
            Event().wait(SETTLING_S)
            caller.limits = LOW
            caller.send(request_bytes[first_bytes:])
            assert caller.read_statuses() == [200]

    @pytest.mark.parametrize(
        ("request_bytes", "first_bytes"),
        [(LONG_HEAD, 6_000), (LONG_BODY, 20)],
        ids=["head", "body"],
    )
    def test_higher_limits_allow_it(self, request_bytes, first_bytes):
        with connection(LOW) as caller:
            caller.send(request_bytes[:first_bytes])
            Event().wait(SETTLING_S)
            caller.limits = HIGH
            caller.send(request_bytes[first_bytes:])
            assert caller.read_statuses() == [200]

    @REQUESTS
    def test_next_one_is_held_to_the_limits_in_force(self, request_bytes, refusal):
        """Guard against one that is sent with the end of the request before it."""
        with connection(HIGH) as caller:
            caller.send(request_bytes[:6_000])
            Event().wait(SETTLING_S)
            caller.limits = LOW
            caller.send(request_bytes[6_000:] + request_bytes)
            assert caller.read_statuses(2) == [200, refusal]

    def test_shorter_timeout_does_not_end_it(self):
        with connection(HIGH) as caller:
            caller.send(SMALL[:20])
            Event().wait(SETTLING_S)
            caller.limits = replace(LOW, header_timeout=Millis(1.0))
            caller.send(SMALL[20:30])
            Event().wait(SETTLING_S)
            caller.send(SMALL[30:])
            assert caller.read_statuses() == [200]
