"""A process that has no descriptor left: its tasks and counts stay right."""

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
from .test_buffers import Mailbox


def fail_with_no_descriptor(*arguments, **named):
    raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))


class NotedMailbox(Mailbox):
    def __init__(self) -> None:
        self.filled = threading.Event()

    def put(self, call):
        self.filled.set()


def ask(listener: Listener) -> bytes:
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
    # Guards against a call without outcome, and a searcher whose connections count as busy forever.
    def test_a_connection_that_gets_no_descriptor_is_counted_out(self, monkeypatch):
        clock = SystemClock()
        tasks = make_pool(8)
        log = EventLog(HostId("g1"), clock)
        fleet = Fleet(make_settings(), HEADER_NAMES, clock, tasks, log, Metrics())
        searcher = StandInSearcher(reply_to)
        fleet.apply_listing(replace(make_entry("s1"), address=searcher.address))
        inbox = NotedMailbox()
        deadline = Millis(clock.now() + 2_000.0)
        call = Call(make_request(), make_route(), ServiceId("orders"), deadline, inbox)
        monkeypatch.setattr(socket, "socket", fail_with_no_descriptor)
        fleet.send(call, set())
        answered = inbox.filled.wait(1)
        monkeypatch.undo()
        searcher.listener.close()
        (replica,) = fleet.replicas.values()
        assert (answered, replica.connection_count, replica.in_flight) == (True, 0, 0)


class TestClient:
    # Guards against a task of the platform or of a peer that ends where no descriptor is left.
    def test_reports_that_no_reply_came(self, monkeypatch):
        client = HttpClient(Address("127.0.0.1:9"), SystemClock())
        monkeypatch.setattr(socket, "socket", fail_with_no_descriptor)
        timeouts = GetTimeouts(Millis(100.0), Millis(100.0))
        assert isinstance(client.get("h", "/", {}, timeouts), NoResponse)


class TestListener:
    # Guards against a listener that ends where a connection's pipe finds no descriptor.
    def test_accepts_again_after_a_connection_found_no_descriptor_for_its_pipe(
        self, listener, monkeypatch
    ):
        accepting = threading.Thread(target=listener.run, daemon=True)
        accepting.start()
        monkeypatch.setattr(os, "pipe", fail_with_no_descriptor)
        ask(listener)
        monkeypatch.undo()
        assert accepting.is_alive()
        assert ask(listener).endswith(b"served")

    # Guards against a listener that spins while no descriptor is free for a connection.
    def test_waits_where_no_connection_can_be_accepted(self, listener):
        listening = listener.socket

        class Exhausted:
            calls = 0

            def accept(self):
                self.calls += 1
                return fail_with_no_descriptor()

        exhausted = Exhausted()
        listener.socket = exhausted
        accepting = threading.Thread(target=listener.run, daemon=True)
        accepting.start()
        time.sleep(0.3)
        listener.stopped = True
        accepting.join(2)
        listener.socket = listening
        assert exhausted.calls < 100
