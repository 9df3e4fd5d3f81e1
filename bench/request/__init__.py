"""Code and data that last for one request: its arrival, its result and the check of its answer."""

from ._arrivals import RANKS as RANKS
from ._arrivals import Arrival as Arrival
from ._arrivals import draw_arrivals as draw_arrivals
from ._audit import LoggedSearch as LoggedSearch
from ._audit import audit_answer as audit_answer
from ._result import LOST as LOST
from ._result import Result as Result
