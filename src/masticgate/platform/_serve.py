"""The gateway program that the platform starts on each host."""

import gc
import os
import sys
from functools import partial
from pathlib import Path

from .._clock import MILLIS_PER_SECOND, SystemClock
from ..connection.gateway import parse_address
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

RETRY_INTERVAL_S = 0.5
"""The pause after a failed start of the gateway."""

EXIT_USAGE = 2


def main(signals: SignalQueue) -> None:
    """Run a gateway until SIGTERM or SIGINT.

    The optional command line argument is the port for metrics. An error is reported, and what
    raised it is tried again.
    """
    metrics_port = _decode_port(sys.argv[1]) if len(sys.argv) > 1 else None
    path = Path(os.environ.get(NODE_FILE_VARIABLE, "/etc/masticgate/local.toml"))
    settings = _wait_for_settings(path, metrics_port, signals)
    if signals.stop_requested:
        return
    if isinstance(settings, InvalidNodeFile):
        print_error(
            f"the process ends: no valid settings for {SETTINGS_WAIT_S:g} s: {settings.detail}"
        )
        raise SystemExit(EXIT_USAGE)
    gateway = _make_gateway(settings, signals)
    if gateway is None:
        return
    gateway.supervisor.run(gateway.start)
    gateway.supervisor.run(partial(_follow_settings, gateway, path, metrics_port, signals))
    gateway.supervisor.run(gateway.stop)


def _decode_port(text: str) -> int | None:
    """Return the port that an argument states; one that is invalid is reported and ignored."""
    if parse_address(f"0.0.0.0:{text}") is not None:
        return int(text)
    print_error(f"no metrics are served, since this is no port: {text!r}")
    return None


def _make_gateway(settings: GatewaySettings, signals: SignalQueue) -> Gateway | None:
    """Make the gateway; after an error, try again until a signal to stop arrives."""
    while not signals.stop_requested:
        try:
            store = PlatformStore(settings.store_address, SystemClock())
            return Gateway(settings, HEADER_NAMES, store, signals.wait_for_stop)
        except Exception as error:
            print_error(f"the start failed and is tried again: {error!r}")
        # Sockets of the failed start may listen until they are collected.
        gc.collect()
        signals.wait_for_stop(RETRY_INTERVAL_S)
    return None


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


def _follow_settings(
    gateway: Gateway, path: Path, metrics_port: int | None, signals: SignalQueue
) -> None:
    """Reload changed settings on SIGHUP and regularly, until a signal to stop arrives.

    Settings that are invalid or cannot be read are not applied.
    """
    while not signals.wait_for_stop(RELOAD_INTERVAL_S):
        match read_node_file(path, metrics_port):
            case InvalidNodeFile(detail=detail):
                gateway.record_unusable_settings(detail)
            case changed if changed != gateway.requested:
                gateway.reload(changed)
