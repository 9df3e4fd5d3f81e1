"""Code and state that last for one connection: callers, and the costs of links and messages."""

from ._caller import Caller as Caller
from ._connection_memory import COUNTS as COUNTS
from ._connection_memory import link_memory as link_memory
from ._connection_memory import resident_bytes as resident_bytes
from ._connection_memory import searcher_connection_memory as searcher_connection_memory
from ._message_costs import HITS as HITS
from ._message_costs import SIZES as SIZES
from ._message_costs import ask as ask
from ._message_costs import digest_heartbeat as digest_heartbeat
from ._message_costs import exchange_call as exchange_call
from ._message_costs import heartbeat as heartbeat
from ._message_costs import member_entry as member_entry
from ._message_costs import pressure as pressure
from ._message_costs import reply as reply
from ._message_costs import wire_bytes as wire_bytes
