"""The parts of a gateway that live as long as its process.

They keep the catalogue, the state of the searchers and of the other gateways, the budgets for
hedges and retries, the log and the metrics.
"""

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
from ._settings import GatewaySettings as GatewaySettings
from ._settings import HostCapacity as HostCapacity
from ._settings import RepeatBounds as RepeatBounds
