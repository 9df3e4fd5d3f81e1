"""How fast each searcher is, how much it handles well, and how much a cold one may be sent."""

from ._cold import SETTLING_TIME as SETTLING_TIME
from ._cold import ColdBound as ColdBound
from ._cold import ColdGuard as ColdGuard
from ._cold import ColdLimits as ColdLimits
from ._cold import SenderKind as SenderKind
from ._limit import ConcurrencyLimit as ConcurrencyLimit
from ._reports import MAX_SENT as MAX_SENT
from ._reports import MIN_REPORTED_FACTOR as MIN_REPORTED_FACTOR
from ._reports import ReceivedReports as ReceivedReports
from ._reports import SlowSearcher as SlowSearcher
from ._reports import choose_latest as choose_latest
from ._reports import decode_reports as decode_reports
from ._reports import encode_reports as encode_reports
from ._reports import from_items as from_items
from ._reports import to_items as to_items
from ._speed import AnswerTime as AnswerTime
from ._speed import Evidence as Evidence
from ._speed import Overdue as Overdue
from ._speed import Report as Report
from ._speed import Speed as Speed
from ._speed import SpeedState as SpeedState
