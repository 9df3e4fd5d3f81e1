"""What a gateway keeps as long as it runs: beliefs about searchers, budgets, logs, metrics."""

from ._catalogue import Change as Change
from ._catalogue import Changes as Changes
from ._catalogue import Contents as Contents
from ._catalogue import HistoryGone as HistoryGone
from ._catalogue import Listed as Listed
from ._catalogue import PlatformSource as PlatformSource
from ._catalogue import Published as Published
from ._catalogue import SearcherEntry as SearcherEntry
from ._catalogue import SearcherPhase as SearcherPhase
from ._catalogue import Source as Source
from ._catalogue import Unavailable as Unavailable
from ._catalogue import Unlisted as Unlisted
from ._catalogue import Unreadable as Unreadable
from ._settings import GatewaySettings as GatewaySettings
from ._settings import RepeatBounds as RepeatBounds
