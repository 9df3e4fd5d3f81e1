"""What a gateway knows of the platform's store, and what a restore of it may have lost."""

from ._era import MAX_DEPARTURES as MAX_DEPARTURES
from ._era import EraBegun as EraBegun
from ._era import StoreView as StoreView
