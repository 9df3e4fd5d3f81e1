"""Code and state for one request that a gateway serves: attempts, their outcomes, the reply."""

from ._attempts import Attempts as Attempts
from ._exchange import Answered as Answered
from ._exchange import BodyFraming as BodyFraming
from ._exchange import Call as Call
from ._exchange import CallerDisconnected as CallerDisconnected
from ._exchange import Declined as Declined
from ._exchange import Inbox as Inbox
from ._exchange import InFlightCall as InFlightCall
from ._exchange import Lost as Lost
from ._exchange import Outcome as Outcome
from ._exchange import Part as Part
from ._exchange import ReceiveInfo as ReceiveInfo
from ._exchange import Repeat as Repeat
from ._exchange import Request as Request
from ._exchange import UpstreamClient as UpstreamClient
from ._forward import run_forward as run_forward
from ._gather import GatherPlan as GatherPlan
from ._gather import run_gather as run_gather
from ._parts import PartSender as PartSender
from ._reply import Abandoned as Abandoned
from ._reply import Failed as Failed
from ._reply import LocalPage as LocalPage
from ._reply import Merged as Merged
from ._reply import Refused as Refused
from ._reply import Relayed as Relayed
from ._reply import Reply as Reply
