"""The sockets and the HTTP codec of a gateway, which live as long as one connection."""

from .._address import parse_address as parse_address
from ._caller import CallerSettings as CallerSettings
from ._caller import Handler as Handler
from ._catalogue_codec import CatalogueUpdate as CatalogueUpdate
from ._catalogue_codec import InvalidCatalogueError as InvalidCatalogueError
from ._catalogue_codec import decode_changes as decode_changes
from ._catalogue_codec import encode_change as encode_change
from ._client import GetTimeouts as GetTimeouts
from ._client import HttpClient as HttpClient
from ._client import HttpResponse as HttpResponse
from ._client import InvalidResponse as InvalidResponse
from ._client import NoResponse as NoResponse
from ._encoding import parse_missing_positions as parse_missing_positions
from ._header_names import HeaderNames as HeaderNames
from ._header_names import peer_header_names as peer_header_names
from ._listener import Listener as Listener
from ._positions import MAX_SHARDS as MAX_SHARDS
from ._searcher_task import Load as Load
from ._searcher_task import ProtocolViolation as ProtocolViolation
from ._searcher_task import SearcherTask as SearcherTask
from ._searcher_task import SearcherTaskHandler as SearcherTaskHandler
from ._searcher_task import SkippedResponse as SkippedResponse
from ._searcher_task import TrailingBytes as TrailingBytes
from ._searcher_task import UnrequestedBytes as UnrequestedBytes
from ._task_starter import TaskRefused as TaskRefused
from ._task_starter import TaskStarter as TaskStarter
