"""How fast each searcher is, and how many requests it handles well at the same time."""

from ._limit import ConcurrencyLimit as ConcurrencyLimit
from ._speed import AnswerTime as AnswerTime
from ._speed import Evidence as Evidence
from ._speed import Overdue as Overdue
from ._speed import Report as Report
from ._speed import Speed as Speed
from ._speed import SpeedState as SpeedState
