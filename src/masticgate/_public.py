"""The public names of :mod:`masticgate`, loaded on first use."""

from ._clock import Clock as Clock
from ._clock import ManualClock as ManualClock
from ._clock import SystemClock as SystemClock
from ._failures import Failure as Failure
from ._failures import NotRun as NotRun
from ._failures import Reason as Reason
from ._failures import Step as Step
from ._failures import Unknown as Unknown
from ._failures import describe_failure as describe_failure
from ._ids import Address as Address
from ._ids import DepartmentId as DepartmentId
from ._ids import FailureDomainId as FailureDomainId
from ._ids import HostId as HostId
from ._ids import Incarnation as Incarnation
from ._ids import Millis as Millis
from ._ids import QueryId as QueryId
from ._ids import Revision as Revision
from ._ids import SearcherId as SearcherId
from ._ids import ServiceId as ServiceId
from ._ids import ShardId as ShardId
from ._ids import SnapshotVersion as SnapshotVersion
from ._ids import TicketId as TicketId
from ._ranks import Rank as Rank
from ._version import VERSION as VERSION
