"""A process without free file descriptors, whose tasks continue and whose counts stay correct."""

import errno
import os
import socket
import threading
import time
from dataclasses import replace

import pytest

from masticgate import Address, HostId, Millis, ServiceId, SystemClock
from masticgate.connection.gateway import (
    CallerSettings,
    GetTimeouts,
    HttpClient,
    Listener,
    NoResponse,
)
from masticgate.process.gateway._fleet import Fleet
from masticgate.process.gateway._log import EventLog
from masticgate.process.gateway._metrics import Metrics
from masticgate.request.gateway import Call, LocalPage
from masticgate.version.gateway import Limits

from .fakes import HEADER_NAMES, make_entry, make_pool, make_request, make_route, make_settings
from .loopback import StandInSearcher, reply_to
from .test_buffers import UnreadInbox


def fail_with_no_descriptor(*arguments, **named_arguments):
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


class RecordingInbox(UnreadInbox):
    def __init__(self) -> None:
        self.call_finished = threading.Event()

    def put(self, call):
        self.call_finished.set()


def get_page(listener: Listener) -> bytes:
    with socket.create_connection(listener.socket.getsockname(), timeout=3) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nx-id: q\r\n\r\n")
        try:
            return caller.recv(65_536)
        except OSError:
            return b""


@pytest.fixture
def listener():
    settings = CallerSettings(
        lambda request, inbox: LocalPage(200, b"served"),
        HEADER_NAMES,
        SystemClock(),
        Limits,
        lambda: False,
    )
    tasks = make_pool(8)
    listener = Listener(Address("127.0.0.1:0"), settings, tasks, 16)
    yield listener
    listener.stop()
    tasks.close()


class TestSend:
    # Guards against a call without an outcome, and a connection that counts as open and busy for
    # ever, when the socket of a connection cannot be created.
    def test_does_not_count_connection_without_descriptor(self, monkeypatch):
        clock = SystemClock()
        tasks = make_pool(8)
        log = EventLog(HostId("g1"), clock)
        fleet = Fleet(make_settings(), HEADER_NAMES, clock, tasks, log, Metrics())
        searcher = StandInSearcher(reply_to)
        fleet.apply_listing(replace(make_entry("s1"), address=searcher.address))
        inbox = RecordingInbox()
        deadline = Millis(clock.now() + 2_000.0)
        call = Call(make_request(), make_route(), ServiceId("orders"), deadline, inbox)
        monkeypatch.setattr(socket, "socket", fail_with_no_descriptor)
        fleet.send(call, set())
        finished = inbox.call_finished.wait(1)
        monkeypatch.undo()
        searcher.listener.close()
        (replica,) = fleet.replicas.values()
        assert (finished, replica.connection_count, replica.in_flight) == (True, 0, 0)


class TestClient:
    # Guards against an error that ends the task that reads from the platform or from a peer.
    def test_returns_no_response_without_descriptor(self, monkeypatch):
        client = HttpClient(Address("127.0.0.1:9"), SystemClock())
        monkeypatch.setattr(socket, "socket", fail_with_no_descriptor)
        timeouts = GetTimeouts(Millis(100.0), Millis(100.0))
        assert isinstance(client.get("h", "/", {}, timeouts), NoResponse)


class TestListener:
    # Guards against a listener that ends when the pipe of a connection cannot be opened.
    def test_accepts_again_after_pipe_could_not_be_opened(self, listener, monkeypatch):
        accepting_task = threading.Thread(target=listener.run, daemon=True)
        accepting_task.start()
        monkeypatch.setattr(os, "pipe", fail_with_no_descriptor)
        get_page(listener)
        monkeypatch.undo()
        assert accepting_task.is_alive()
        assert get_page(listener).endswith(b"served")

    # Guards against a listener that retries without pause while accepting fails for lack of a
    # descriptor.
    def test_pauses_after_each_failed_accept(self, listener):
        original_socket = listener.socket

        class ExhaustedListener:
            calls = 0

            def accept(self):
                self.calls += 1
                return fail_with_no_descriptor()

        exhausted_listener = ExhaustedListener()
        listener.socket = exhausted_listener
        accepting_task = threading.Thread(target=listener.run, daemon=True)
        accepting_task.start()
        time.sleep(0.3)
        listener.stopped = True
        accepting_task.join(2)
        listener.socket = original_socket
        assert exhausted_listener.calls < 100
