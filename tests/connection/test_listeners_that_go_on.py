"""A front end that had no descriptor or no thread for a connection goes on accepting."""

import errno
import os

import pytest

from .test_caller_server import Served

REQUEST = b"GET /status HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


class FailsOnce:
    """Stands for ``call``, and fails the first time."""

    def __init__(self, call, error):
        self.call = call
        self.error = error

    def __call__(self, *arguments):
        if self.error is None:
            return self.call(*arguments)
        error, self.error = self.error, None
        raise error


class ListenerThatFailsOnce:
    def __init__(self, listener):
        self.listener = listener
        self.accept = FailsOnce(listener.accept, OSError(errno.EMFILE, os.strerror(errno.EMFILE)))

    def __getattr__(self, name):
        return getattr(self.listener, name)


def answer_of(served) -> bytes:
    with served.open() as caller:
        caller.settimeout(2)
        caller.sendall(REQUEST)
        try:
            return caller.recv(65_536)
        except TimeoutError:
            return b"no answer"


@pytest.fixture
def served():
    with Served() as served:
        assert answer_of(served).startswith(b"HTTP/1.1 ")
        yield served


class TestCallerServer:
    # Guards against a host that accepts nobody any more once it had no descriptor left.
    def test_accepts_again_after_it_had_no_descriptor(self, served):
        served.server.listener = ListenerThatFailsOnce(served.server.listener)
        answer_of(served)
        answer_of(served)
        assert answer_of(served).startswith(b"HTTP/1.1 ")

    # Guards against a host that accepts nobody any more once no thread could be started.
    def test_accepts_again_after_no_thread_could_be_started(self, served):
        error = RuntimeError("can't start new thread")
        served.tasks.submit = FailsOnce(served.tasks.submit, error)
        with served.open():
            pass
        assert answer_of(served).startswith(b"HTTP/1.1 ")
