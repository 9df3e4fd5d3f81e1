"""The state of the other gateways, and the choice of the gateways that gather queries.

To gather a query is to send it to one searcher of each of its shards and to merge the answers. Each
gateway sends heartbeats to the seeds, which are the few gateways that its settings name. A seed
counts the gateways from which it receives heartbeats. If a searcher accepts too few connections for
all gateways, only the seeds connect to the searchers of shards, and they gather the queries for the
other gateways. A gateway that gathers queries for others is called a gatherer.
"""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from threading import Lock, Thread
from time import sleep
from urllib.parse import parse_qs

from ..._clock import MILLIS_PER_SECOND, Clock
from ..._ids import Address, FailureDomainId, HostId, Millis, RouteId, SearcherId
from ...connection.gateway import GetTimeouts, HttpClient, HttpResponse
from ...request.gateway import LocalPage, Request
from ...version.gateway import Idempotency, OneService, Route, RouteTable
from ._catalogue import PEER_SERVICE, SearcherEntry, SearcherPhase
from ._fleet import Fleet
from ._log import EventLog, LogEvent
from ._settings import GatewaySettings
from ._shares import GatewayShares

HEARTBEAT_HOST = "heartbeat.gateway"
"""The Host header by which a gateway recognizes a heartbeat."""

HEARTBEAT_INTERVAL = Millis(500.0)
"""The interval between heartbeats to a seed that is a gatherer."""

FIRST_HEARTBEAT_DELAY = Millis(50.0)
HEARTBEAT_RETRY_INTERVAL = Millis(250.0)
"""The interval between heartbeats to a seed that does not respond or is not ready.

It is short, so that a starting gateway soon finds the seeds.
"""

HEARTBEAT_TIMEOUTS = GetTimeouts(Millis(400.0), Millis(400.0))
"""The timeouts for the connection to a seed, and for its reply to a heartbeat."""

MAX_MISSED_HEARTBEATS = 2
"""A gatherer is no longer used after this many missed heartbeats in a row.

They take up to a second if its host refuses connections, and up to two if it does not respond. A
gatherer that replies that it is not ready is dropped at once.
"""

MEMBER_TTL = Millis(5_000.0)
"""How long a gateway counts as running after its last heartbeat."""

WARM_UP_DELAY = Millis(2_000.0)
"""How long a starting gateway waits for the number of gateways before it warms up connections.

It waits twice as long if it is not a seed and knows of no other gateway. To warm up is to open a
connection to each searcher of a shard before there is a request for it.
"""

MIN_MEMBERS_TO_RELAY = 13
"""With at least this many gateways, the seeds read the platform's catalogue for the others.

The catalogue is the configuration and the listings of the searchers.
"""

MIN_CONNECTIONS_TO_GATHER = 2
"""The connections to each searcher that a gateway needs to gather queries itself.

One is for the first attempt, and one for a hedge.
"""

PEER_SLOTS = 64
"""The number of queries that a gatherer is assumed to run at the same time."""

PEER_ATTEMPTS = 2
"""The number of gatherers to which one query may be sent."""


@dataclass(frozen=True, slots=True)
class GatherHere:
    """This gateway gathers queries over many shards itself."""


@dataclass(frozen=True, slots=True)
class GatherAtPeers:
    """This gateway forwards each query over many shards to a gatherer."""


Gathering = GatherHere | GatherAtPeers


def choose_gathering(members: int, connections: int, *, is_seed: bool) -> Gathering:
    """Return where a gateway gathers its queries.

    ``members`` is the number of running gateways, and ``connections`` the number that one searcher
    accepts from all of them together. A seed always gathers its queries itself.
    """
    if is_seed or connections // max(1, members) >= MIN_CONNECTIONS_TO_GATHER:
        return GatherHere()
    return GatherAtPeers()


def peer_route(route: Route) -> Route:
    """Return the route by which a query of ``route`` is forwarded to a gatherer.

    It is not idempotent, so that the query is forwarded again only if it did not run.
    """
    return replace(
        route,
        id=RouteId(f"{PEER_SERVICE}/{route.id}"),
        kind=Idempotency.NON_IDEMPOTENT,
        target=OneService(PEER_SERVICE),
        attempts=PEER_ATTEMPTS,
    )


class Peers:
    """The state of the other gateways, as far as this gateway knows it.

    ``last_heartbeats`` maps each gateway to the time of its last heartbeat; only a seed receives
    them. ``relay_domains`` maps each seed that relays the platform's catalogue to its failure
    domain. ``members`` is the number of running gateways.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        fleet: Fleet,
        clock: Clock,
        log: EventLog,
        current_table: Callable[[], RouteTable | None],
        is_ready: Callable[[], bool],
        is_platform_reachable: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.clock = clock
        self.log = log
        self.current_table = current_table
        self.is_ready = is_ready
        self.is_platform_reachable = is_platform_reachable
        self.lock = Lock()
        self.started_at = clock.now()
        self.last_heartbeats: dict[HostId, Millis] = {}
        self.relay_domains: dict[Address, FailureDomainId] = {}
        self.members = 1
        self.gathering: Gathering = GatherHere()

    def start(self) -> None:
        """Start a heartbeat task for each seed except this gateway."""
        for seed in self.settings.seeds:
            if seed != self.settings.peer_address:
                Thread(target=self._run_heartbeats, args=(seed,), daemon=True).start()

    def handle_heartbeat(self, request: Request) -> LocalPage:
        """Record a heartbeat, and return this gateway's state and the number of gateways."""
        query = parse_qs(request.target.partition(b"?")[2].decode("latin-1"))
        host = HostId(query.get("host", [""])[0])
        now = self.clock.now()
        with self.lock:
            self.last_heartbeats[host] = now
            expired = [
                known
                for known, received_at in self.last_heartbeats.items()
                if now - received_at > MEMBER_TTL
            ]
            for known in expired:
                del self.last_heartbeats[known]
            members = 1 + len(self.last_heartbeats)
        reply = {
            "host": self.settings.host,
            "domain": self.settings.domain,
            "ready": self.is_ready(),
            "relays": self.is_ready() and self.is_platform_reachable(),
            "members": members,
        }
        return LocalPage(200, json.dumps(reply).encode())

    def find_relays(self) -> list[Address]:
        """Return the seeds that relay the catalogue, those in this gateway's domain first.

        Return an empty list if this gateway is a seed, or if there are few gateways: each then
        reads from the platform itself, which saves one hop of delay.
        """
        with self.lock:
            if self.settings.is_seed or self.members < MIN_MEMBERS_TO_RELAY:
                return []
            relay_domains = dict(self.relay_domains)
        own_domain = self.settings.domain
        return sorted(relay_domains, key=lambda seed: (relay_domains[seed] != own_domain, seed))

    def update_gathering(self) -> None:
        """Choose where queries are gathered, and apply this gateway's shares; called regularly."""
        table = self.current_table()
        if table is None:
            return
        with self.lock:
            if self.settings.is_seed:
                self.members = 1 + len(self.last_heartbeats)
            members = self.members
        shards = table.shard_services()
        accepted = [table.services[name].connections for name in shards if name in table.services]
        connections = min(accepted, default=0)
        chosen = choose_gathering(members, connections, is_seed=self.settings.is_seed)
        gathering_of_others = choose_gathering(members, connections, is_seed=False)
        if chosen != self.gathering:
            self.gathering = chosen
            self.log.write(
                LogEvent.GATHERING,
                chosen=type(chosen).__name__,
                members=members,
                connections=connections,
            )
        gatherers = (
            len(self.settings.seeds) if isinstance(gathering_of_others, GatherAtPeers) else members
        )
        keeps_warm = self._knows_member_count() and isinstance(chosen, GatherHere)
        self.fleet.apply_shares(GatewayShares(members, max(1, gatherers), keeps_warm))

    def _knows_member_count(self) -> bool:
        """Return whether the number of gateways is known, or is no longer waited for."""
        age = self.clock.now() - self.started_at
        return (
            age > WARM_UP_DELAY and (self.settings.is_seed or self.members > 1)
        ) or age > 2 * WARM_UP_DELAY

    def _run_heartbeats(self, seed: Address) -> None:
        """Send heartbeats to one seed until the process ends.

        The seed is a gatherer while its replies say that it is ready.
        """
        client = HttpClient(seed, self.clock)
        peer = SearcherId(f"{PEER_SERVICE}/{seed}")
        misses = MAX_MISSED_HEARTBEATS
        wait = FIRST_HEARTBEAT_DELAY
        while True:
            sleep(wait / MILLIS_PER_SECOND)
            wait = (
                HEARTBEAT_INTERVAL if misses < MAX_MISSED_HEARTBEATS else HEARTBEAT_RETRY_INTERVAL
            )
            reply = self._exchange_heartbeat(client)
            if reply is not None and reply.get("ready") is True:
                if misses >= MAX_MISSED_HEARTBEATS:
                    self.log.write(LogEvent.GATHERER_FOUND, peer=seed)
                misses = 0
                self._record_reply(seed, reply)
                self.fleet.apply_listing(_gatherer_entry(peer, seed, reply))
                continue
            misses += 1
            if misses == MAX_MISSED_HEARTBEATS or (
                reply is not None and misses < MAX_MISSED_HEARTBEATS
            ):
                misses = MAX_MISSED_HEARTBEATS
                self.log.write(LogEvent.GATHERER_LOST, peer=seed, answered=reply is not None)
                with self.lock:
                    self.relay_domains.pop(seed, None)
                self.fleet.remove_searcher(peer, "no heartbeat")

    def _exchange_heartbeat(self, client: HttpClient) -> dict[str, object] | None:
        """Send one heartbeat; return the decoded reply, or ``None`` if there is no valid one."""
        query = {"host": self.settings.host}
        response = client.get(HEARTBEAT_HOST, "/", query, HEARTBEAT_TIMEOUTS)
        if not isinstance(response, HttpResponse):
            client.close()
            return None
        try:
            reply = json.loads(response.body)
        except ValueError:
            return None
        return reply if isinstance(reply, dict) else None

    def _record_reply(self, seed: Address, reply: dict[str, object]) -> None:
        members = reply.get("members")
        with self.lock:
            if reply.get("relays") is True:
                self.relay_domains[seed] = FailureDomainId(str(reply.get("domain")))
            else:
                self.relay_domains.pop(seed, None)
            if isinstance(members, int) and members > 0:
                self.members = members


def _gatherer_entry(peer: SearcherId, seed: Address, reply: dict[str, object]) -> SearcherEntry:
    """Return a listing for a gatherer, so that the fleet can treat it as a searcher."""
    domain = FailureDomainId(str(reply.get("domain")))
    phase = SearcherPhase.READY
    return SearcherEntry(peer, PEER_SERVICE, seed, domain, PEER_SLOTS, phase, Millis(0.0), 0)
