"""The public names of :mod:`masticgate.connection`, loaded on first use."""

from ._address import split_address as split_address
from ._caller_app import BookingRequest as BookingRequest
from ._caller_app import CallerApp as CallerApp
from ._caller_app import CallerHandler as CallerHandler
from ._caller_app import SearchRequest as SearchRequest
from ._caller_client import CallerClient as CallerClient
from ._caller_client import CallerReply as CallerReply
from ._caller_server import CallerServer as CallerServer
from ._frames import BadFrameError as BadFrameError
from ._frames import Message as Message
from ._frames import decode_message as decode_message
from ._frames import encode_message as encode_message
from ._http_connection import HttpConnection as HttpConnection
from ._http_connection import HttpFailure as HttpFailure
from ._http_connection import HttpReply as HttpReply
from ._peer import LinkState as LinkState
from ._peer import PeerHandler as PeerHandler
from ._peer import PeerLink as PeerLink
from ._peer import PeerServer as PeerServer
from ._platform import ListedHost as ListedHost
from ._platform import PlatformReader as PlatformReader
from ._platform import Unchanged as Unchanged
from ._platform import Value as Value
from ._searcher import run_searcher_connection as run_searcher_connection
from ._socket import FrameSocket as FrameSocket
