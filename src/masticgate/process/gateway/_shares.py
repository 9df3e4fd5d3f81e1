"""One gateway's share of the connections and repeats that are bounded for all gateways together."""

from dataclasses import dataclass

from ._settings import RepeatBounds

MIN_ASSUMED_GATEWAYS = 8
"""The shares are computed for at least this many gateways, since some may not be known yet."""

USED_RATIO_SHARE = 0.85
"""The part of the allowed ratio of repeats that is used.

The rest is a margin, since the bound holds for a sliding window.
"""

USED_SLACK_SHARE = 0.65
"""The part of the allowed slack that gatherers use; the rest is for queries gathered again."""

PEER_REPEAT_SHARE = 0.1
"""The part of the allowed ratio for queries that are forwarded to a gatherer and repeated.

Such a query is sent to a second gatherer, or gathered by this gateway after its gatherer was lost.
"""

PEER_REPEAT_SLACK = 1.0
"""The number of such queries that may be repeated in a window in addition."""


@dataclass(frozen=True, slots=True)
class GatewayShares:
    """The numbers that determine one gateway's share.

    ``gateways`` is the number of running gateways and ``gatherers`` the number of those that gather
    queries over many shards. ``keeps_warm`` says whether this gateway keeps a connection open to
    each searcher of a shard.
    """

    gateways: int
    gatherers: int
    keeps_warm: bool

    def max_connections(self, accepted: int, *, shard: bool) -> int:
        """Return this gateway's share of the connections that one searcher accepts.

        ``shard`` says whether the searcher serves a shard; then only gatherers connect to it.
        """
        return max(1, accepted // self._gateway_count(shard))

    def repeat_limits(self, bounds: RepeatBounds, *, shard: bool) -> tuple[float, float]:
        """Return the ratio and slack that bound this gateway's repeats for one service."""
        slack = bounds.slack * USED_SLACK_SHARE / self._gateway_count(shard)
        return bounds.ratio * USED_RATIO_SHARE, slack

    def peer_repeat_limits(self, bounds: RepeatBounds) -> tuple[float, float]:
        """Return the ratio and slack that bound the repeats of forwarded queries."""
        return bounds.ratio * PEER_REPEAT_SHARE, PEER_REPEAT_SLACK

    def _gateway_count(self, shard: bool) -> int:
        return max(MIN_ASSUMED_GATEWAYS, self.gatherers if shard else self.gateways)
