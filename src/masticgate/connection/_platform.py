"""A client for the platform's HTTP interfaces: the configuration service and the host list.

The configuration service holds a text for each key, with a revision that grows with each change.
The host list names the hosts of the deployment. A host's failure domain is a group of hosts that
may fail together.
"""

from dataclasses import dataclass
from urllib.parse import quote

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .._failures import Reason, Step, Unknown
from .._ids import Address, FailureDomainId, HostId, Millis, Revision
from ..version import AddressText, Name
from ._http_connection import HttpConnection, HttpReply

READ_TIMEOUT = Millis(1000.0)
"""The time limit of a read; for a watch, the time that the platform may wait is added."""


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
    """The value of a key and its revision."""

    revision: Revision
    text: str


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The key has no revision above the one that the caller already has."""


@dataclass(frozen=True, slots=True)
class ListedHost:
    """One host in the host list, which may be outdated."""

    host: HostId
    address: Address
    failure_domain: FailureDomainId
    leaving: bool


class PlatformReader:
    """Reads from the platform over one connection to each of its two interfaces.

    Only one task may read at a time.
    """

    def __init__(self, configuration: Address, hosts: Address) -> None:
        self.configuration = configuration
        self.values = HttpConnection(configuration)
        self.hosts = HttpConnection(hosts)

    def read(self, key: str) -> Value | Unchanged | Unknown:
        """Return the current value of ``key``, :class:`Unchanged` if it has none, or a failure."""
        return self._get(f"/v1/values/{quote(key, safe='')}", READ_TIMEOUT)

    def watch(self, key: str, after: Revision, wait: Millis) -> Value | Unchanged | Unknown:
        """Return the value of ``key`` once its revision is above ``after``.

        The platform responds after ``wait`` at the latest; without a newer revision the result is
        :class:`Unchanged`.
        """
        path = f"/v1/values/{quote(key, safe='')}?after={after}&wait_ms={int(wait)}"
        return self._get(path, Millis(wait + READ_TIMEOUT))

    def list_hosts(self) -> tuple[ListedHost, ...] | Unknown:
        """Return all hosts in the host list, or a failure."""
        reply = self.hosts.get("/v1/hosts", READ_TIMEOUT)
        if not isinstance(reply, HttpReply) or reply.status != 200:
            return self._make_failure(reply)
        try:
            listed = _HostsBody.model_validate_json(reply.body)
        except ValidationError:
            return Unknown(Reason.BAD_REQUEST, Step.READ, self.hosts.address, "invalid host list")
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
        """Allow reads again after an abort; only the task that reads may call this."""
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
            return Unknown(Reason.BAD_REQUEST, Step.READ, self.configuration, "invalid value")
        return Value(Revision(value.revision), value.value)

    def _make_failure(self, reply: object) -> Unknown:
        return Unknown(Reason.PLATFORM, Step.READ, self.configuration, str(reply)[:200])
