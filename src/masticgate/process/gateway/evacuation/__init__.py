"""The failure domains that operators evacuate: their searchers are sent nothing meanwhile."""

from ._apply import EvacuationApplier as EvacuationApplier
from ._domains import MAX_EVACUATIONS as MAX_EVACUATIONS
from ._domains import EvacuatedDomains as EvacuatedDomains
