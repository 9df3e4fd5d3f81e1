"""Requests that are refused, alone or after a complete request on the same connection."""

import threading

import pytest

from masticgate import SystemClock
from masticgate.connection.gateway import CallerSettings
from masticgate.connection.gateway._caller import CallerConnection
from masticgate.request.gateway import LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES
from .test_buffers import connect_pair

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nx-id: q1\r\n\r\n"
MALFORMED = b"\x00\x01 no request\r\n\r\n"
TOO_LARGE = b"POST /b HTTP/1.1\r\nHost: h\r\nx-id: q2\r\nContent-Length: 999999999\r\n\r\n"


class TestRequestBeforeRefusedBytes:
    # Guards against a refusal of the later bytes that is sent as the response to the complete
    # request before them.
    @pytest.mark.parametrize("refused_bytes", [MALFORMED, TOO_LARGE])
    def test_is_served_before_the_refusal(self, refused_bytes):
        near, far = connect_pair()
        settings = CallerSettings(
            lambda request, inbox: LocalPage(200, b"served"),
            HEADER_NAMES,
            SystemClock(),
            Limits,
            lambda: False,
        )
        far.settimeout(5)
        far.sendall(REQUEST + refused_bytes)
        serving_task = threading.Thread(target=CallerConnection(near, settings).run, daemon=True)
        serving_task.start()
        first_response = far.recv(65_536)
        far.close()
        serving_task.join(5)
        assert first_response.startswith(b"HTTP/1.1 200 ")


class TestRefusedRequest:
    # Guards against a refused request that is served because it was received completely.
    @pytest.mark.parametrize(
        ("request_bytes", "status"),
        [
            (
                b"POST /b HTTP/1.1\r\nHost: h\r\nx-id: q\r\nContent-Length: 9\r\n\r\n" + b"x" * 9,
                413,
            ),
            (b"GET /b HTTP/1.1\r\nHost: h\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
            (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 400),
        ],
    )
    def test_is_not_served(self, request_bytes, status):
        near, far = connect_pair()
        served = []

        def handle(request, inbox):
            served.append(request)
            return LocalPage(200, b"served")

        limits = Limits(body_bytes=8)
        settings = CallerSettings(
            handle, HEADER_NAMES, SystemClock(), lambda: limits, lambda: False
        )
        far.settimeout(5)
        far.sendall(request_bytes)
        serving_task = threading.Thread(target=CallerConnection(near, settings).run, daemon=True)
        serving_task.start()
        first_response = far.recv(65_536)
        far.close()
        serving_task.join(5)
        assert first_response.startswith(b"HTTP/1.1 %d " % status)
        assert served == []
