"""Models that validate the types and ranges of the values in the operators' text."""

from ipaddress import IPv4Address
from typing import Annotated

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, StringConstraints

NAME_PATTERN = r"^[a-z0-9][a-z0-9./_-]{0,79}$"
SUPPORTED_FORMAT = 1
"""The ``format`` number of the texts that this release reads."""

MAX_PORT = 65535
MAX_FLOOR_SUM = 0.9
"""Greatest share of a service's work that the floors of the lower ranks may reserve together."""


def check_address(text: str) -> str:
    """Return ``text`` if it is an IPv4 address and a port, such as ``127.0.0.1:7001``.

    :raises ValueError: ``text`` is anything else.
    """
    ip_address, _, port = text.rpartition(":")
    IPv4Address(ip_address)
    if not (port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= MAX_PORT):
        raise ValueError(f"no port from 1 to {MAX_PORT}")
    return text


Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]
AddressText = Annotated[str, AfterValidator(check_address)]
DateText = Annotated[str, StringConstraints(pattern=r"^\d{4}-\d{2}-\d{2}$")]


class StrictModel(BaseModel):
    """A model that rejects unknown keys and does not convert values between types."""

    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class FloorsText(StrictModel):
    """The floors: shares of each service's work reserved for the lower ranks under overload."""

    standard: float = Field(default=0.1, ge=0.0, le=0.5)
    bulk: float = Field(default=0.1, ge=0.0, le=0.5)


class DepartmentText(StrictModel):
    """A department; ``leaving`` says whether it is leaving, and ``leaves_on`` on which date."""

    leaving: bool = False
    leaves_on: DateText | None = None


class SearcherText(StrictModel):
    """A searcher of a service: its address, its failure domain and its limits."""

    id: Name
    address: AddressText
    failure_domain: Name
    slots: int = Field(ge=1, le=256)
    connections: int = Field(ge=1, le=10_000)


class ServiceText(StrictModel):
    """A service, its department, its searchers and the services that it depends on."""

    department: Name
    depends_on: list[Name] = Field(default=[], max_length=10_000)
    searchers: list[SearcherText] = Field(default=[], max_length=64)
    bookings: bool = False


class ConfigurationText(StrictModel):
    """The whole text of the operators."""

    format: int
    deployment: Name
    floors: FloorsText = FloorsText()
    departments: dict[Name, DepartmentText] = Field(min_length=1, max_length=10_000)
    services: dict[Name, ServiceText] = Field(min_length=1, max_length=100_000)
