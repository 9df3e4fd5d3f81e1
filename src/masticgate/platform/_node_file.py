"""Reads the settings file that the platform writes for a gateway process."""

import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from .._clock import MILLIS_PER_SECOND
from .._fields import FieldError, Fields
from .._ids import Address, FailureDomainId, HostId, Millis
from ..connection.gateway import parse_address
from ..process.gateway import ColdMargin, GatewaySettings, HostCapacity, RepeatBounds
from ..process.gateway._settings import DEFAULT_DESCRIPTORS, DEFAULT_MEMORY_BYTES

DEFAULT_LINK_MBPS = 1_000.0
BYTES_PER_MEGABYTE = 1_000_000
DEFAULT_COLD = ColdMargin()


@dataclass(frozen=True, slots=True)
class InvalidNodeFile:
    """The settings file cannot be used; ``detail`` says why."""

    detail: str


def read_node_file(path: Path, metrics_port: int | None) -> GatewaySettings | InvalidNodeFile:
    """Read the settings file at ``path``; ignore unknown fields.

    The gateway serves its metrics on ``metrics_port``, or not at all if that is ``None``.
    """
    try:
        fields = Fields.of("settings", tomllib.loads(path.read_text(encoding="utf-8")))
        return _decode_settings(fields, metrics_port)
    except (OSError, ValueError, RecursionError, MemoryError, FieldError) as error:
        return InvalidNodeFile(f"{path}: {str(error) or type(error).__name__}")


def _decode_settings(fields: Fields, metrics_port: int | None) -> GatewaySettings:
    bounds = fields.table("bounds")
    listen = fields.table("bindAddresses")
    metrics_address = None
    if metrics_port is not None:
        metrics_address = Address(f"{fields.text('ip')}:{metrics_port}")
    return GatewaySettings(
        host=HostId(fields.text("nodeName")),
        domain=FailureDomainId(fields.text("zone")),
        caller_address=_decode_address(listen, "front"),
        readiness_address=_decode_address(listen, "ready"),
        metrics_address=metrics_address,
        peer_address=_decode_address(listen, "control") if "control" in listen.values else None,
        seeds=tuple(_decode_seeds(fields)),
        store_address=_decode_address(fields.table("platform"), "address"),
        grace=Millis(bounds.number("graceS") * MILLIS_PER_SECOND),
        drain=Millis(bounds.number("drainMs")),
        repeats=RepeatBounds(
            ratio=bounds.number("retryBudgetRatio"),
            slack=bounds.number("budgetSlack"),
            window=Millis(bounds.number("budgetWindowS") * MILLIS_PER_SECOND),
        ),
        cold=ColdMargin(
            bounds.number("coldOver", DEFAULT_COLD.over),
            bounds.number("coldSlack", DEFAULT_COLD.slack),
        ),
        capacity=_decode_capacity(Fields.of("settings.limits", fields.values.get("limits", {}))),
    )


def _decode_address(fields: Fields, name: str) -> Address:
    address = parse_address(fields.values.get(name))
    if address is None:
        raise fields.error(name, "an IPv4 address and a port")
    return address


def _decode_seeds(fields: Fields) -> Iterator[Address]:
    for seed in fields.text_list("seedNodes"):
        address = parse_address(seed)
        if address is None:
            raise fields.error("seedNodes", "a list of IPv4 addresses and ports")
        yield address


def _decode_capacity(limits: Fields) -> HostCapacity:
    # The platform states the share of a core and, separately, how many times as fast it runs.
    cores = limits.number("cpuShare", 1.0) * limits.number("cpuSpeedup", 1.0)
    # Of the two readings of a megabyte, the smaller one keeps the process below its limit.
    memory_mb = limits.number("memoryMb", DEFAULT_MEMORY_BYTES / BYTES_PER_MEGABYTE)
    return HostCapacity(
        cores,
        limits.number("linkMbps", DEFAULT_LINK_MBPS),
        round(memory_mb * BYTES_PER_MEGABYTE) or DEFAULT_MEMORY_BYTES,
        round(limits.number("maxFds", DEFAULT_DESCRIPTORS)) or DEFAULT_DESCRIPTORS,
    )
