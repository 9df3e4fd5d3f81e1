"""How soon a starting system serves again: decisions that need no network.

They apply after a start of one gateway, and after a loss of power at all hosts, which leaves no
state anywhere.
"""

from ._naming_rule import NAMING_LIMIT as NAMING_LIMIT
from ._naming_rule import NamingPhase as NamingPhase
from ._naming_rule import NamingRule as NamingRule
from ._pace import starting_interval as starting_interval
