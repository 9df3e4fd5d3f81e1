"""How soon a starting system serves again: decisions that need no network.

They apply after a start of one gateway, and after a loss of power at all hosts, which leaves no
state anywhere.
"""

from ._naming_rule import NAMING_LIMIT as NAMING_LIMIT
from ._naming_rule import NamingPhase as NamingPhase
from ._naming_rule import NamingRule as NamingRule
from ._pace import STARTUP_TIME as STARTUP_TIME
from ._pace import starting_interval as starting_interval
from ._progress import StartupStep as StartupStep
from ._progress import StartupTimes as StartupTimes
from ._progress import spread_wait as spread_wait
from ._store_contact import LOST_AGE as LOST_AGE
from ._store_contact import MAX_GATHERING_AGE as MAX_GATHERING_AGE
from ._store_contact import PROBE_INTERVAL as PROBE_INTERVAL
from ._store_contact import StoreContact as StoreContact
from ._store_contact import is_outdated as is_outdated
