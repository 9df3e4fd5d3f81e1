"""The gateway program that the platform starts on each host."""

import os
import sys
from pathlib import Path

from .._clock import MILLIS_PER_SECOND, SystemClock
from ..process.gateway import GatewaySettings
from ..process.gateway._gateway import Gateway
from ._early_errors import print_error
from ._names import HEADER_NAMES
from ._node_file import InvalidNodeFile, read_node_file
from ._signals import SignalQueue
from ._store import PlatformStore

NODE_FILE_VARIABLE = "MASTICGATE_NODE_FILE"
RELOAD_INTERVAL_S = 5.0
"""The interval at which the settings file is read again, since it may change without a signal."""

SETTINGS_WAIT_S = 10.0
"""How long a starting process waits for a valid settings file, which may just be rewritten."""

SETTINGS_POLL_INTERVAL_S = 0.1

EXIT_USAGE = 2


def main(signals: SignalQueue) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    The optional command line argument is the port for metrics.
    """
    metrics_port = int(sys.argv[1]) if len(sys.argv) > 1 else None
    path = Path(os.environ.get(NODE_FILE_VARIABLE, "/etc/masticgate/local.toml"))
    settings = _wait_for_settings(path, metrics_port, signals)
    if signals.stop_requested:
        return
    if isinstance(settings, InvalidNodeFile):
        print_error(
            f"the process ends: no valid settings for {SETTINGS_WAIT_S:g} s: {settings.detail}"
        )
        raise SystemExit(EXIT_USAGE)
    store = PlatformStore(settings.store_address, SystemClock())
    gateway = Gateway(settings, HEADER_NAMES, store)
    gateway.start()
    _run(gateway, settings, path, metrics_port, signals)
    gateway.stop()


def _wait_for_settings(
    path: Path, metrics_port: int | None, signals: SignalQueue
) -> GatewaySettings | InvalidNodeFile:
    """Return the settings once they are valid, or why they are not after ``SETTINGS_WAIT_S``.

    The wait also ends when a signal to stop arrives.
    """
    clock = SystemClock()
    deadline = clock.now() + SETTINGS_WAIT_S * MILLIS_PER_SECOND
    has_reported = False
    while True:
        settings = read_node_file(path, metrics_port)
        if isinstance(settings, GatewaySettings) or clock.now() >= deadline:
            return settings
        if not has_reported:
            print_error(f"waits {SETTINGS_WAIT_S:g} s for valid settings: {settings.detail}")
            has_reported = True
        if signals.wait_for_stop(SETTINGS_POLL_INTERVAL_S):
            return settings


def _run(
    gateway: Gateway,
    settings: GatewaySettings,
    path: Path,
    metrics_port: int | None,
    signals: SignalQueue,
) -> None:
    """Reload changed settings on SIGHUP and regularly, until a signal to stop arrives.

    Settings that are invalid or cannot be read are not applied.
    """
    while not signals.wait_for_stop(RELOAD_INTERVAL_S):
        match read_node_file(path, metrics_port):
            case InvalidNodeFile(detail=detail):
                gateway.record_unusable_settings(detail)
            case changed if changed != settings:
                settings = changed
                gateway.reload(settings)
