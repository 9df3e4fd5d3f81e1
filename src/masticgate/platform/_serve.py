"""The program that the platform starts on each machine."""

import os
import signal
import sys
from pathlib import Path
from queue import Empty, SimpleQueue
from typing import Any

from .._clock import SystemClock
from ..process.gateway import GatewaySettings
from ..process.gateway._gateway import Gateway
from ._names import HEADER_NAMES
from ._node_file import BadNodeFile, read_node_file
from ._store import Store

NODE_FILE_VARIABLE = "MASTICGATE_NODE_FILE"
RELOAD_INTERVAL_S = 5.0
"""The settings file may change without a signal; it is read again so often."""

START_STATUS = 1
USAGE_STATUS = 2


def main() -> None:
    """Run a gateway until SIGTERM."""
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else None
    path = Path(os.environ.get(NODE_FILE_VARIABLE, "/etc/masticgate/local.toml"))
    settings = read_node_file(path, metrics_port)
    if isinstance(settings, BadNodeFile):
        print(f"masticgate: {settings.detail}", file=sys.stderr)
        raise SystemExit(USAGE_STATUS)
    signals: SimpleQueue[int] = SimpleQueue()

    def note(number: int, *_: Any) -> None:
        signals.put(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, note)
    try:
        gateway = Gateway(settings, HEADER_NAMES, Store(settings.catalogue, SystemClock()))
    except OSError as error:
        print(f"masticgate: cannot listen: {error}", file=sys.stderr)
        raise SystemExit(START_STATUS) from error
    gateway.start()
    _run(gateway, settings, path, metrics_port, signals)
    gateway.stop()


def _run(
    gateway: Gateway,
    settings: GatewaySettings,
    path: Path,
    metrics_port: int | None,
    signals: SimpleQueue[int],
) -> None:
    """Reload changed settings until asked to stop."""
    while True:
        try:
            asked = signals.get(timeout=RELOAD_INTERVAL_S)
        except Empty:
            asked = signal.SIGHUP
        if asked != signal.SIGHUP:
            return
        changed = read_node_file(path, metrics_port)
        if isinstance(changed, GatewaySettings) and changed != settings:
            settings = changed
            gateway.reload(settings)
