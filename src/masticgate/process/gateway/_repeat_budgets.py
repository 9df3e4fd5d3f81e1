"""The budgets that bound this gateway's hedges and retries for each service."""

from collections.abc import Mapping

from ..._ids import FailureDomainId, Millis, ServiceId
from ...request.gateway import Urgency, may_hedge
from ...version.gateway import PEER_SERVICE
from ._repeat_window import RepeatWindow
from ._settings import RepeatBounds
from ._shares import GatewayShares

EARLY_HEDGE_SHARE = 0.5
"""The part of a budget that early hedges may use; the rest is for calls that are overdue or failed.
"""

RETRY_RESERVE = 1.0
"""The number of repeats in each budget that hedges may not spend, so that retries can."""

ShardDomains = Mapping[ServiceId, frozenset[FailureDomainId]]


class RepeatBudgets:
    """One sliding window of requests and repeats for each service.

    A repeat is a hedge or a retry. The lock of ``Fleet`` guards the windows.
    """

    def __init__(self, bounds: RepeatBounds, shares: GatewayShares, started_at: Millis) -> None:
        self.bounds = bounds
        self.shares = shares
        self.started_at = started_at
        self.shard_domains: ShardDomains = {}
        self.windows: dict[ServiceId, RepeatWindow] = {}

    def window(self, service: ServiceId) -> RepeatWindow:
        """Return the window of one service, and create it if there is none."""
        window = self.windows.get(service)
        if window is None:
            ratio, slack = self._limits_of(service)
            window = RepeatWindow(self.bounds, ratio, slack, self.started_at)
            self.windows[service] = window
        return window

    def record_request(self, service: ServiceId, now: Millis) -> None:
        """Record an attempt that is not a repeat."""
        self.window(service).record_request(now)

    def spend(self, service: ServiceId, now: Millis) -> bool:
        """Spend one repeat, or return ``False`` if none remains."""
        return self.window(service).spend(now)

    def spend_hedge(self, service: ServiceId, now: Millis, urgency: Urgency) -> bool:
        """Spend one repeat for a hedge, or return ``False`` if its urgency is too low."""
        window = self.window(service)
        return may_hedge(urgency, window.use(now), RETRY_RESERVE) and window.spend(now)

    def allows_early_hedge(self, service: ServiceId, now: Millis) -> bool:
        """Return whether a hedge may be sent before the first attempt is overdue."""
        return self.window(service).used_share(now) < EARLY_HEDGE_SHARE

    def drop_empty(self, now: Millis) -> None:
        """Drop the windows without a request or repeat, which are created again if needed."""
        self.windows = {
            service: window for service, window in self.windows.items() if not window.is_empty(now)
        }

    def apply_shares(self, shares: GatewayShares, shard_domains: ShardDomains) -> None:
        """Adapt the windows to this gateway's present share of the repeats of all gateways.

        ``shard_domains`` maps each shard to the failure domains that have searchers of it.
        """
        self.shares = shares
        self.shard_domains = shard_domains
        for service, window in self.windows.items():
            window.ratio, window.slack = self._limits_of(service)
            window.window = self.bounds.window

    def _limits_of(self, service: ServiceId) -> tuple[float, float]:
        """Return the ratio and slack that bound this gateway's repeats for one service."""
        if service == PEER_SERVICE:
            return self.shares.peer_repeat_limits(self.bounds)
        return self.shares.repeat_limits(self.bounds, self.shard_domains.get(service))
