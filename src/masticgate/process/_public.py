"""The public names of :mod:`masticgate.process`, loaded on first use."""

from ._idle_connections import CheckLoad as CheckLoad
from ._idle_connections import CloseConnection as CloseConnection
from ._idle_connections import NoWork as NoWork
from ._messages import Demand as Demand
from ._messages import Heartbeat as Heartbeat
from ._messages import HeartbeatReply as HeartbeatReply
from ._messages import Hello as Hello
from ._messages import Member as Member
from ._messages import MemberState as MemberState
from ._messages import Pressure as Pressure
from ._messages import RefusedCount as RefusedCount
from ._messages import ServicePressure as ServicePressure
from ._policy import NAIVE_POLICY as NAIVE_POLICY
from ._policy import OWNER_POLICY as OWNER_POLICY
from ._policy import Policy as Policy
from ._searcher_health import LoadReport as LoadReport
from ._service_pool import ServicePool as ServicePool
from ._settings import InvalidSettings as InvalidSettings
from ._settings import Settings as Settings
from ._settings import check_settings as check_settings
from ._settings import read_settings as read_settings
from ._work import BookingWork as BookingWork
from ._work import SearcherAttempt as SearcherAttempt
from ._work import SearchWork as SearchWork
