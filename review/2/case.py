"""The searchers of a service called "gateways" are taken for gateways that gather queries."""

import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.harness import TROUBLE, Case, main

SHARDS = [f"safety-{number}" for number in range(6)]
SHARD_ZONES = ("ekm", "tcr")
DEPARTMENT = "gateways"
COMMON = {
    "hostname": "pupu76.example",
    "type": "idempotent",
    "maxAttempts": 2,
    "timeoutMs": 2000,
    "targetLatencyMs": 400,
    "priority": 1,
}
QUERY = COMMON | {
    "name": "recall",
    "prefix": "/recall/",
    "fanoutServices": SHARDS,
    "topK": 5,
    "minShardRatio": 0.75,
}
ORDERS = COMMON | {"name": "orders", "prefix": "/orders/", "service": "work-orders"}
DEPARTMENT_ROUTE = COMMON | {"name": "department", "prefix": "/pay/", "service": DEPARTMENT}
ALLOWED = {"/recall/x": SHARDS, "/orders/x": ["work-orders"], "/pay/x": [DEPARTMENT]}
CONFIG_APPLY_S = 3.0
REQUESTS = 60


def run(case: Case) -> list[str]:
    """Play the case; return how the rule was broken."""
    services = dict.fromkeys([*SHARDS, "work-orders"], 25)
    for shard in SHARDS:
        for zone in SHARD_ZONES:
            case.add_searcher(f"i-{shard}-{zone}", shard, zone)
    for zone in case.zones:
        case.add_searcher(f"i-orders-{zone}", "work-orders", zone)
    case.publish([QUERY, ORDERS], services)
    for zone in case.zones:
        case.add_gateway(zone)
    case.start()
    paths = ["/recall/x", "/orders/x"]
    if TROUBLE:
        # A department joins: its searchers start, and the next version adds its route.
        for zone in SHARD_ZONES:
            case.add_searcher(f"i-{DEPARTMENT}-{zone}", DEPARTMENT, zone)
        case.publish([QUERY, ORDERS, DEPARTMENT_ROUTE], services | {DEPARTMENT: 96})
        paths.append("/pay/x")
    time.sleep(CONFIG_APPLY_S + 1.0)
    client = case.client(case.gateways[0])
    for number in range(REQUESTS):
        for path in paths:
            client.request(path, f"{path[1]}{number:015x}")
            time.sleep(0.02)
    statuses = Counter((e["request"][0], e["status"]) for e in case.record.of("answered"))
    print("answers by path and status:", dict(sorted(statuses.items())))
    return [
        f"ROUTE: {event['request']} for {event['target']} was run by {event['service']}"
        f" ({event['searcher']})"
        for event in case.record.of("run")
        if event["service"] not in ALLOWED[event["target"]]
    ]


main(Path(__file__).resolve().parent, run)
