"""A server for callers that goes on accepting after it lacked a descriptor or a thread."""

import errno
import os

import pytest

from .test_caller_server import RunningServer

REQUEST = b"GET /status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class FailingOnce:
    """Wraps ``call`` and raises ``error`` the first time instead of calling it."""

    def __init__(self, call, error):
        self.call = call
        self.error = error

    def __call__(self, *arguments):
        if self.error is None:
            return self.call(*arguments)
        error, self.error = self.error, None
        raise error


class ListenerFailingOnce:
    def __init__(self, listener):
        self.listener = listener
        self.accept = FailingOnce(listener.accept, OSError(errno.EMFILE, os.strerror(errno.EMFILE)))

    def __getattr__(self, name):
        return getattr(self.listener, name)


def get_status(running) -> bytes:
    with running.open() as caller:
        caller.settimeout(2)
        caller.sendall(REQUEST)
        try:
            return caller.recv(65_536)
        except TimeoutError:
            return b"no answer"


@pytest.fixture
def running():
    with RunningServer() as running:
        assert get_status(running).startswith(b"HTTP/1.1 ")
        yield running


class TestCallerServer:
    # Guards against a host that no longer accepts callers after an accept failed for lack of a
    # file descriptor.
    def test_accepts_again_after_descriptors_ran_out(self, running):
        running.server.listener = ListenerFailingOnce(running.server.listener)
        # The original listener may accept the first request, since its accept is in progress.
        get_status(running)
        get_status(running)
        assert get_status(running).startswith(b"HTTP/1.1 ")

    # Guards against a host that no longer accepts callers after a thread could not be started.
    def test_accepts_again_after_thread_could_not_be_started(self, running):
        error = RuntimeError("can't start new thread")
        running.tasks.submit = FailingOnce(running.tasks.submit, error)
        with running.open():
            pass
        assert get_status(running).startswith(b"HTTP/1.1 ")
