"""What a starting host waits for, since it remembers nothing and the platform may be stale."""

from collections.abc import Mapping
from enum import Enum
from threading import Condition

from .._clock import Clock, remaining_seconds
from .._ids import FailureDomainId, HostId, Millis, Revision
from ..version import Versions
from ._versions import VersionStore

STARTUP_TIMEOUT = Millis(3000.0)
MIN_STARTUP_PEERS = 3
MIN_STARTUP_DOMAINS = 2


class StartState(Enum):
    """How much a starting host has heard."""

    COMPLETE = "complete"
    """The platform and enough peers answered, and this host has the highest they named."""

    PARTIAL = "partial"
    """Some answered; a higher version may exist."""

    ALONE = "alone"
    """Neither the platform nor any peer answered."""


class Startup:
    """Collects the versions that the platform and peers have, until there are enough.

    Enough are the platform and :data:`MIN_STARTUP_PEERS` of the ``seeds`` in
    :data:`MIN_STARTUP_DOMAINS` failure domains, or as many as the settings name.
    """

    def __init__(
        self, seeds: Mapping[HostId, FailureDomainId], versions: VersionStore, clock: Clock
    ) -> None:
        self.seeds = seeds
        self.versions = versions
        self.clock = clock
        self.condition = Condition()
        self.peer_versions: dict[HostId, tuple[FailureDomainId, Versions]] = {}
        self.platform_tried = False
        self.platform_answered = False

    def record_platform_read(self, answered: bool) -> None:
        """Note that the platform was read, with or without an answer."""
        with self.condition:
            self.platform_tried = True
            self.platform_answered = answered
            self.condition.notify_all()

    def record_peer(self, host: HostId, domain: FailureDomainId, versions: Versions) -> None:
        """Note what ``host`` has."""
        with self.condition:
            self.peer_versions[host] = (domain, versions)
            self.condition.notify_all()

    def notify_change(self) -> None:
        """Note that this host's own versions rose."""
        with self.condition:
            self.condition.notify_all()

    def wait(self, deadline: Millis) -> StartState:
        """Wait until enough was heard, at most until ``deadline``."""
        with self.condition:
            self.condition.wait_for(self._is_complete, remaining_seconds(deadline, self.clock))
            if self._is_complete():
                return StartState.COMPLETE
            answered = self.platform_answered or self.peer_versions
            return StartState.PARTIAL if answered else StartState.ALONE

    def describe(self, state: StartState) -> str:
        """Return one line for the time line."""
        own = self.versions.versions()
        domains = {domain for domain, _ in self.peer_versions.values()}
        platform = "the platform" if self.platform_answered else "no platform"
        return (
            f"{state.value}: heard {platform} and {len(self.peer_versions)} peers in "
            f"{len(domains)} failure domains; serves revision {own.revision}"
        )

    def _is_complete(self) -> bool:
        domains = {domain for domain, _ in self.peer_versions.values()}
        enough_peers = len(self.peer_versions) >= min(MIN_STARTUP_PEERS, len(self.seeds))
        enough_domains = len(domains) >= min(MIN_STARTUP_DOMAINS, len(set(self.seeds.values())))
        return self.platform_tried and enough_peers and enough_domains and self._has_highest()

    def _has_highest(self) -> bool:
        revision = max((v.revision for _, v in self.peer_versions.values()), default=0)
        catalogue = max((v.catalogue for _, v in self.peer_versions.values()), default=0)
        has_catalogue = self.versions.versions().catalogue >= catalogue
        return self.versions.has_processed(Revision(revision)) and has_catalogue
