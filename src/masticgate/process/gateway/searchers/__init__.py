"""What a gateway knows of each searcher: how much one that has just started may be sent."""

from ._cold import SETTLING_TIME as SETTLING_TIME
from ._cold import ColdBound as ColdBound
from ._cold import ColdGuard as ColdGuard
from ._cold import ColdLimits as ColdLimits
from ._cold import SenderKind as SenderKind
