"""The wait of a starting host for the versions of the platform and of peers.

A host stores nothing across restarts, and the platform may answer with stale values, so the host
compares several answers before it puts versions in force.
"""

from collections.abc import Mapping
from enum import Enum
from threading import Condition

from .._clock import Clock, remaining_seconds
from .._ids import FailureDomainId, HostId, Millis, Revision
from ..version import Versions
from ._versions import VersionStore

STARTUP_TIMEOUT = Millis(3000.0)
"""The longest time that a starting host waits for answers."""

MIN_STARTUP_PEERS = 3
"""The number of peers whose answers a starting host waits for."""

MIN_STARTUP_DOMAINS = 2
"""The number of failure domains that these peers must come from."""


class StartState(Enum):
    """Which answers a starting host has received."""

    COMPLETE = "complete"
    """The answers described at :class:`Startup` have all been received."""

    PARTIAL = "partial"
    """The platform or some peers answered; a higher version than this host's may exist."""

    ALONE = "alone"
    """Neither the platform nor any peer answered."""


class Startup:
    """Collects the versions that peers have until enough peers have answered.

    Enough are :data:`MIN_STARTUP_PEERS` peers in :data:`MIN_STARTUP_DOMAINS` failure domains, or
    as many as there are among the ``seeds``, the other hosts that the settings name. In addition,
    the read of the platform must have ended, with or without an answer, and this host must have
    the highest versions that the peers reported; a revision that it refused counts too.
    """

    def __init__(
        self, seeds: Mapping[HostId, FailureDomainId], versions: VersionStore, clock: Clock
    ) -> None:
        self.seeds = seeds
        self.versions = versions
        self.clock = clock
        self.condition = Condition()
        self.peer_versions: dict[HostId, tuple[FailureDomainId, Versions]] = {}
        self.platform_read_done = False
        self.platform_answered = False

    def record_platform_read(self, answered: bool) -> None:
        """Record that the read of the platform has ended, and whether it returned the text."""
        with self.condition:
            self.platform_read_done = True
            self.platform_answered = answered
            self.condition.notify_all()

    def record_peer(self, host: HostId, domain: FailureDomainId, versions: Versions) -> None:
        """Record the versions that ``host``, a peer in ``domain``, has."""
        with self.condition:
            self.peer_versions[host] = (domain, versions)
            self.condition.notify_all()

    def notify_change(self) -> None:
        """Wake the waiting task, since this host's own versions may have changed."""
        with self.condition:
            self.condition.notify_all()

    def wait(self, deadline: Millis) -> StartState:
        """Wait until the answers are complete, at most until ``deadline``."""
        with self.condition:
            self.condition.wait_for(self._is_complete, remaining_seconds(deadline, self.clock))
            if self._is_complete():
                return StartState.COMPLETE
            answered = self.platform_answered or self.peer_versions
            return StartState.PARTIAL if answered else StartState.ALONE

    def describe(self, state: StartState) -> str:
        """Return a one-line summary for the timeline."""
        own = self.versions.versions()
        domains = {domain for domain, _ in self.peer_versions.values()}
        platform = "the platform" if self.platform_answered else "no platform"
        return (
            f"{state.value}: {platform} and {len(self.peer_versions)} peers in "
            f"{len(domains)} failure domains answered; serves revision {own.revision}"
        )

    def _is_complete(self) -> bool:
        domains = {domain for domain, _ in self.peer_versions.values()}
        enough_peers = len(self.peer_versions) >= min(MIN_STARTUP_PEERS, len(self.seeds))
        enough_domains = len(domains) >= min(MIN_STARTUP_DOMAINS, len(set(self.seeds.values())))
        return self.platform_read_done and enough_peers and enough_domains and self._has_highest()

    def _has_highest(self) -> bool:
        revision = max((v.revision for _, v in self.peer_versions.values()), default=0)
        catalogue = max((v.catalogue for _, v in self.peer_versions.values()), default=0)
        has_catalogue = self.versions.versions().catalogue >= catalogue
        return self.versions.has_processed(Revision(revision)) and has_catalogue
