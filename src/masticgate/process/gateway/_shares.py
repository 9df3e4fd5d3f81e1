"""One gateway's share of the connections and repeats that are bounded for all gateways together."""

from collections.abc import Set
from dataclasses import dataclass

from ..._ids import FailureDomainId
from ._settings import RepeatBounds

MIN_ASSUMED_GATEWAYS = 8
"""The shares are computed for at least this many gateways, since some may not be known yet."""

MIN_ASSUMED_GATHERERS = 3
"""A shard is shared by at least this many gatherers, also if fewer are in its domains."""

NEAR_CONNECTION_SHARE = 0.8
"""The part of a searcher's connections for the gatherers in the domains of its shard.

The rest is for gateways that gather the shard while these do not.
"""

USED_RATIO_SHARE = 0.85
"""The part of the allowed ratio of repeats that is used.

The rest is a margin, since the bound holds for a sliding window.
"""

USED_SLACK_SHARE = 0.7
"""The part of the allowed slack for the gatherers in the domains of a shard."""

FAR_SLACK_SHARE = 0.1
"""The part of the allowed slack for all other gatherers; the rest is for parts gathered again."""

PEER_REPEAT_SHARE = 0.1
"""The part of the allowed ratio for parts of queries that are gathered again.

Such a part was sent to a gatherer that was lost.
"""

PEER_REPEAT_SLACK = 1.0
"""The number of such parts that may be gathered again in a window in addition."""


@dataclass(frozen=True, slots=True)
class GatewayShares:
    """The numbers that determine one gateway's share.

    ``gateways`` is the number of running gateways. ``gatherer_domains`` has the failure domain of
    each gatherer, this gateway in ``own_domain`` included; it is empty if this gateway is none.
    ``keeps_warm`` says whether this gateway keeps connections open to the searchers of shards.
    """

    gateways: int
    gatherer_domains: tuple[FailureDomainId, ...]
    own_domain: FailureDomainId
    keeps_warm: bool

    def max_connections(self, accepted: int, domains: Set[FailureDomainId] | None) -> int:
        """Return the number of connections that this gateway may open to one searcher.

        ``accepted`` is what the searcher accepts from all gateways together, and ``domains`` are
        those with searchers of the same shard, or ``None`` if it serves none. The result is at
        least one, so that every gateway can send a request.
        """
        return max(1, self._connection_share(accepted, domains))

    def keeps_connections(self, accepted: int, domains: Set[FailureDomainId] | None) -> bool:
        """Return whether this gateway may keep connections to one searcher without a request.

        If its share is below one connection, a connection of every gateway would exceed what the
        searcher accepts, and the searcher would reset some of them.
        """
        return self._connection_share(accepted, domains) >= 1

    def _connection_share(self, accepted: int, domains: Set[FailureDomainId] | None) -> int:
        """Return this gateway's share of the connections, which may be none."""
        if domains is None or not self.gatherer_domains:
            return accepted // max(MIN_ASSUMED_GATEWAYS, self.gateways)
        return int(accepted * NEAR_CONNECTION_SHARE) // self._near_count(domains)

    def repeat_limits(
        self, bounds: RepeatBounds, domains: Set[FailureDomainId] | None
    ) -> tuple[float, float]:
        """Return the ratio and slack that bound this gateway's repeats for one service."""
        ratio = bounds.ratio * USED_RATIO_SHARE
        if domains is None or not self.gatherer_domains:
            slack = USED_SLACK_SHARE / max(MIN_ASSUMED_GATEWAYS, self.gateways)
        elif self.own_domain in domains:
            slack = USED_SLACK_SHARE / self._near_count(domains)
        else:
            slack = FAR_SLACK_SHARE / len(self.gatherer_domains)
        return ratio, bounds.slack * slack

    def peer_repeat_limits(self, bounds: RepeatBounds) -> tuple[float, float]:
        """Return the ratio and slack that bound the repeats of forwarded parts."""
        return bounds.ratio * PEER_REPEAT_SHARE, PEER_REPEAT_SLACK

    def _near_count(self, domains: Set[FailureDomainId]) -> int:
        """Return the number of gatherers in the domains of a shard."""
        near = sum(domain in domains for domain in self.gatherer_domains)
        return max(MIN_ASSUMED_GATHERERS, near)
