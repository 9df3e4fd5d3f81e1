"""The configuration that the platform publishes for gateways: routes, services and limits."""

from ._catalogue import MAX_COLD_TIME as MAX_COLD_TIME
from ._catalogue import MAX_SLOTS as MAX_SLOTS
from ._catalogue import PEER_SERVICE as PEER_SERVICE
from ._catalogue import CatalogueSource as CatalogueSource
from ._catalogue import Change as Change
from ._catalogue import Changes as Changes
from ._catalogue import Contents as Contents
from ._catalogue import HistoryGone as HistoryGone
from ._catalogue import PlatformSource as PlatformSource
from ._catalogue import PublishedConfiguration as PublishedConfiguration
from ._catalogue import SearcherEntry as SearcherEntry
from ._catalogue import SearcherListed as SearcherListed
from ._catalogue import SearcherPhase as SearcherPhase
from ._catalogue import SearcherUnlisted as SearcherUnlisted
from ._catalogue import Unavailable as Unavailable
from ._catalogue import UnreadableItem as UnreadableItem
from ._routes import Idempotency as Idempotency
from ._routes import Limits as Limits
from ._routes import OneService as OneService
from ._routes import Route as Route
from ._routes import RouteTable as RouteTable
from ._routes import ServiceEntry as ServiceEntry
from ._routes import Shards as Shards
from ._routes import Split as Split
from ._routes import Target as Target
from ._routes import WeightedService as WeightedService
