"""Reads the platform over HTTP: the configuration service and the lagging host list."""

from dataclasses import dataclass
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._failures import Reason, Step, Unknown
from .._ids import Address, FailureDomainId, HostId, Millis, Revision
from ..version import AddressText, Name
from ._http_connection import HttpConnection, HttpReply

READ_TIMEOUT = Millis(1000.0)


class _ValueBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    revision: int = Field(ge=0, lt=2**63)
    value: str


class _HostItem(BaseModel):
    model_config = ConfigDict(extra="ignore")
    host: Name
    address: AddressText
    failure_domain: Name
    leaving: bool = False


class _HostsBody(BaseModel):
    model_config = ConfigDict(extra="ignore")
    hosts: list[_HostItem] = Field(max_length=10_000)


@dataclass(frozen=True, slots=True)
class Value:
    """A key's value and its revision."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The key has no revision above the one known."""


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One line of the host list; it may lag."""

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    leaving: bool


class PlatformReader:
    """One connection to the platform; one task uses it at a time."""

    def __init__(self, configuration: Address, hosts: Address) -> None:
        self.configuration = configuration
        self.values = HttpConnection(configuration)
        self.hosts = HttpConnection(hosts)

    def read(self, key: str) -> Value | Unchanged | Unknown:
        """Return the present value of ``key``."""
        return self._get(f"/v1/values/{quote(key, safe='')}", READ_TIMEOUT)

    def watch(self, key: str, after: Revision, wait: Millis) -> Value | Unchanged | Unknown:
        """Wait up to ``wait`` for a revision of ``key`` above ``after``."""
        path = f"/v1/values/{quote(key, safe='')}?after={after}&wait_ms={int(wait)}"
        return self._get(path, Millis(wait + READ_TIMEOUT))

    def list_hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Return the host list."""
        reply = self.hosts.get("/v1/hosts", READ_TIMEOUT)
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return self._make_failure(reply)
        try:
            listed = _HostsBody.model_validate_json(reply.body)
        except ValidationError:
            return Unknown(Reason.BAD_REQUEST, Step.READ, self.hosts.address, "unreadable list")
        return tuple(
            ListedHost(
                HostId(item.host),
                Address(item.address),
                FailureDomainId(item.failure_domain),
                item.leaving,
            )
            for item in listed.hosts
        )

    def allow_requests(self) -> None:
        """Allow the next read after an abort; only the reading task calls this."""
        self.values.allow_requests()
        self.hosts.allow_requests()

    def abort(self) -> None:
        """Cancel a read in progress; any task may call this.

        No further read succeeds before :meth:`allow_requests` is called.
        """
        self.values.abort()
        self.hosts.abort()

    def close(self) -> None:
        """Close the connections."""
        self.values.close()
        self.hosts.close()

    def _get(self, path: str, timeout: Millis) -> Value | Unchanged | Unknown:
        reply = self.values.get(path, timeout)
        if isinstance(reply, HttpReply) and reply.status in (204, 304):
            return Unchanged()
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return self._make_failure(reply)
        try:
            value = _ValueBody.model_validate_json(reply.body)
        except ValidationError:
            return Unknown(Reason.BAD_REQUEST, Step.READ, self.configuration, "unreadable value")
        return Value(Revision(value.revision), value.value)

    def _make_failure(self, reply: object) -> Unknown:
        return Unknown(Reason.PLATFORM, Step.READ, self.configuration, str(reply)[:200])
