"""The parts of a gateway that live as long as its process.

They keep the catalogue, the state of the searchers and of the other gateways, the budgets for
hedges and retries, the log and the metrics.
"""

from ...version.gateway import CatalogueSource as CatalogueSource
from ...version.gateway import Change as Change
from ...version.gateway import Changes as Changes
from ...version.gateway import Contents as Contents
from ...version.gateway import DomainEvacuated as DomainEvacuated
from ...version.gateway import EvacuationEnded as EvacuationEnded
from ...version.gateway import HistoryGone as HistoryGone
from ...version.gateway import PlatformSource as PlatformSource
from ...version.gateway import PublishedConfiguration as PublishedConfiguration
from ...version.gateway import SearcherEntry as SearcherEntry
from ...version.gateway import SearcherListed as SearcherListed
from ...version.gateway import SearcherPhase as SearcherPhase
from ...version.gateway import SearcherUnlisted as SearcherUnlisted
from ...version.gateway import Unavailable as Unavailable
from ...version.gateway import UnreadableItem as UnreadableItem
from ._settings import ColdMargin as ColdMargin
from ._settings import GatewaySettings as GatewaySettings
from ._settings import HostCapacity as HostCapacity
from ._settings import RepeatBounds as RepeatBounds
