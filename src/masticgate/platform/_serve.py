"""The gateway program that the platform starts on each host."""

import os
import sys
from pathlib import Path

from .._clock import SystemClock
from ..process.gateway import GatewaySettings
from ..process.gateway._gateway import Gateway
from ._names import HEADER_NAMES
from ._node_file import InvalidNodeFile, read_node_file
from ._signals import SignalQueue
from ._store import PlatformStore

NODE_FILE_VARIABLE = "MASTICGATE_NODE_FILE"
RELOAD_INTERVAL_S = 5.0
"""The interval at which the settings file is read again, since it may change without a signal."""

EXIT_START_FAILED = 1
EXIT_USAGE = 2


def main(signals: SignalQueue) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    The optional command line argument is the port for metrics.
    """
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else None
    path = Path(os.environ.get(NODE_FILE_VARIABLE, "/etc/masticgate/local.toml"))
    settings = read_node_file(path, metrics_port)
    if isinstance(settings, InvalidNodeFile):
        print(f"masticgate: {settings.detail}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    try:
        gateway = Gateway(
            settings, HEADER_NAMES, PlatformStore(settings.store_address, SystemClock())
        )
    except OSError as error:
        print(f"masticgate: cannot listen: {error}", file=sys.stderr)
        raise SystemExit(EXIT_START_FAILED) from error
    gateway.start()
    _run(gateway, settings, path, metrics_port, signals)
    gateway.stop()


def _run(
    gateway: Gateway,
    settings: GatewaySettings,
    path: Path,
    metrics_port: int | None,
    signals: SignalQueue,
) -> None:
    """Reload changed settings on SIGHUP and regularly, until a signal to stop arrives.

    A settings file that is invalid or cannot be read is ignored.
    """
    while not signals.wait_for_stop(RELOAD_INTERVAL_S):
        changed = read_node_file(path, metrics_port)
        if isinstance(changed, GatewaySettings) and changed != settings:
            settings = changed
            gateway.reload(settings)
