"""Accepts callers, one task each, and bounds how many there are."""

import socket
from contextlib import suppress
from threading import Lock

from ..._ids import Address, Millis
from .._address import accept_connections, listen_on
from ._caller import Caller, CallerSettings, CallerState
from ._task_starter import TaskStarter


class Listener:
    """One listening socket and its callers' connections."""

    def __init__(
        self, address: Address, settings: CallerSettings, tasks: TaskStarter, most: int
    ) -> None:
        self.settings = settings
        self.tasks = tasks
        self.most = most
        self.lock = Lock()
        self.callers: set[Caller] = set()
        self.socket = listen_on(address)
        self.stopped = False
        self.turned_away = 0

    def run(self) -> None:
        """Accept connections until :meth:`stop`."""
        accepted = accept_connections(lambda: self.socket.accept(), lambda: self.stopped)
        for connection, _ in accepted:
            self._admit(connection)

    def stop(self) -> None:
        """Accept no more connections; the open ones stay."""
        self.stopped = True
        with suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def count(self, *states: CallerState) -> int:
        """Return the number of connections in one of ``states``."""
        with self.lock:
            return sum(caller.state in states for caller in self.callers)

    def close_idle(self) -> None:
        """Let every connection end that has no request in progress."""
        with self.lock:
            idle = [caller for caller in self.callers if caller.state is CallerState.IDLE]
        for caller in idle:
            caller.stop_reading()

    def _admit(self, connection: socket.socket) -> None:
        try:
            caller = Caller(connection, self.settings)
        except OSError:
            connection.close()
            with self.lock:
                self.turned_away += 1
            return
        with self.lock:
            self.callers.add(caller)
            crowded = len(self.callers) > self.most
        if crowded:
            self._close_longest_unserved(caller)
        if self.tasks.start(self._run, caller) is not None:
            self._turn_away(caller)

    def _run(self, caller: Caller) -> None:
        try:
            caller.run()
        finally:
            with self.lock:
                self.callers.discard(caller)

    def _turn_away(self, caller: Caller) -> None:
        """Close a connection for which no task could be started."""
        with self.lock:
            self.callers.discard(caller)
            self.turned_away += 1
        caller.link.close()

    def _close_longest_unserved(self, newest: Caller) -> None:
        """Make room: a connection without a whole request gives way, the oldest first."""
        with self.lock:
            unserved = [
                caller
                for caller in self.callers
                if caller is not newest and caller.state is not CallerState.SERVING
            ]
        if unserved:
            min(unserved, key=_waiting_since).stop_reading()


def _waiting_since(caller: Caller) -> Millis:
    return caller.since
