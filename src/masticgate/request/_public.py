"""The public names of :mod:`masticgate.request`, which are loaded on first use."""

from ._booking import Attempt as Attempt
from ._booking import Booking as Booking
from ._booking import Tickets as Tickets
from ._booking import run_booking as run_booking
from ._merge import Answer as Answer
from ._merge import MissingShard as MissingShard
from ._messages import Ask as Ask
from ._messages import Book as Book
from ._messages import BookingOutcome as BookingOutcome
from ._messages import BookReply as BookReply
from ._messages import Cancel as Cancel
from ._messages import Delivery as Delivery
from ._messages import Forward as Forward
from ._messages import ForwardReply as ForwardReply
from ._messages import Hit as Hit
from ._messages import Hits as Hits
from ._messages import Ran as Ran
from ._messages import Reply as Reply
from ._messages import ServicePart as ServicePart
from ._messages import ServiceResult as ServiceResult
from ._messages import VersionGone as VersionGone
from ._runtime import Inbox as Inbox
from ._runtime import Runtime as Runtime
from ._search import Query as Query
from ._search import run_search as run_search
