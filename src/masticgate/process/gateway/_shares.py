"""What one gateway may have of what all gateways share."""

from dataclasses import dataclass

from ._settings import RepeatBounds

MIN_ASSUMED_GATEWAYS = 8
"""Gateways that are taken to share at least, since some may not be known yet."""

RATIO_MARGIN = 0.85
"""The part of the allowed ratio of repeats that is spent, since windows slide."""

SLACK_MARGIN = 0.8
PEER_REPEAT_SHARE = 0.1
"""The part of the repeats that goes to queries whose gatherer was lost on the way."""

PEER_REPEAT_SLACK = 1.0


@dataclass(frozen=True, slots=True)
class GatewayShares:
    """How many gateways there are, how many gather queries, and whether this one does."""

    gateways: int
    gatherers: int
    keeps_warm: bool

    def max_connections(self, accepted: int, *, shard: bool) -> int:
        """Return this gateway's part of the connections that one searcher accepts."""
        return max(1, accepted // self._gateway_count(shard))

    def repeat_limits(self, bounds: RepeatBounds, *, shard: bool) -> tuple[float, float]:
        """Return this gateway's ratio and slack of the repeats of one service."""
        slack = bounds.slack * SLACK_MARGIN / self._gateway_count(shard)
        return bounds.ratio * RATIO_MARGIN, slack

    def peer_repeat_limits(self, bounds: RepeatBounds) -> tuple[float, float]:
        """Return this gateway's ratio and slack of queries that are gathered again."""
        return bounds.ratio * PEER_REPEAT_SHARE, PEER_REPEAT_SLACK

    def _gateway_count(self, shard: bool) -> int:
        return max(MIN_ASSUMED_GATEWAYS, self.gatherers if shard else self.gateways)
