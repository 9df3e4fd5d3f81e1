"""The settings of an entry host's process: JSON with comments, validated by type and range."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field, StringConstraints, ValidationError
from pydantic_core import ErrorDetails

from ..version import AddressText, Document, Name, StrictModel, SyntaxProblem, parse_document

MAX_SETTINGS_BYTES = 100_000
"""The largest settings file that is read."""


class SeedSettings(StrictModel):
    """An entry host to which the other hosts connect when they start."""

    host: Name
    address: AddressText
    failure_domain: Name


class PlatformSettings(StrictModel):
    """The addresses of the platform's two services, and two keys of the configuration service.

    ``configuration`` is the address of the configuration service, and ``hosts`` that of the host
    list. ``text_key`` is the key of the configuration text, and ``snapshots_key`` that of the
    snapshot catalogue.
    """

    configuration: AddressText
    hosts: AddressText
    text_key: Annotated[str, StringConstraints(min_length=1, max_length=200)] = "masticgate/text"
    snapshots_key: Annotated[str, StringConstraints(min_length=1, max_length=200)] = (
        "masticgate/snapshots"
    )


class StatsdSettings(StrictModel):
    """The statsd address that metrics are sent to, and the prefix of their names."""

    address: AddressText
    prefix: Name = "masticgate"


class Settings(StrictModel):
    """All settings of an entry host.

    Peers connect to ``peer_address``. The host listens there, or on ``peer_listen_address`` if
    that is set. Connections of callers beyond ``max_callers`` are refused. ``caller_timeout_ms``
    bounds each wait for a caller to send or accept bytes, and ``shutdown_ms`` the wait for requests
    in progress when the host stops. ``routing`` is ``naive`` only to compare the ordinary policy
    with a simple one.
    """

    host: Name
    failure_domain: Name
    caller_address: AddressText
    peer_address: AddressText
    peer_listen_address: AddressText | None = None
    platform: PlatformSettings
    seeds: list[SeedSettings] = Field(default=[], max_length=32)
    statsd: StatsdSettings | None = None
    routing: Literal["owner", "naive"] = "owner"
    max_callers: int = Field(default=256, ge=1, le=4096)
    max_body_bytes: int = Field(default=64_000, ge=1_000, le=1_000_000)
    caller_timeout_ms: int = Field(default=30_000, ge=100, le=600_000)
    shutdown_ms: int = Field(default=10_000, ge=0, le=600_000)
    log_level: Literal["debug", "info", "warning", "error"] = "info"

    def other_seeds(self) -> list[SeedSettings]:
        """Return the seeds other than this host itself."""
        return [seed for seed in self.seeds if seed.host != self.host]


@dataclass(frozen=True, slots=True)
class InvalidSettings:
    """The problems found in settings; a process with invalid settings does not start."""

    problems: tuple[str, ...]


def read_settings(path: Path) -> Settings | InvalidSettings:
    """Read and validate the settings in the file at ``path``."""
    try:
        if path.stat().st_size > MAX_SETTINGS_BYTES:
            return InvalidSettings((f"{path}: longer than {MAX_SETTINGS_BYTES} bytes",))
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return InvalidSettings((f"{path}: {error}",))
    return check_settings(text, str(path))


def check_settings(text: str, name: str) -> Settings | InvalidSettings:
    """Validate the settings in ``text``; each problem begins with ``name``, a file name."""
    document = parse_document(text)
    if isinstance(document, SyntaxProblem):
        place = f"{name}:{document.position.line}:{document.position.column}"
        return InvalidSettings((f"{place}: {document.message}",))
    try:
        return Settings.model_validate(document.value)
    except ValidationError as error:
        return InvalidSettings(tuple(_describe(name, document, item) for item in error.errors()))


def _describe(name: str, document: Document, error: ErrorDetails) -> str:
    position = document.locate(error["loc"])
    path = ".".join(map(str, error["loc"]))
    found = "" if error["type"] == "missing" else f", found {error['input']!r}"
    return f"{name}:{position.line}:{position.column}: {path}: {error['msg']}{found}"
