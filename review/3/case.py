"""A searcher whose entry was removed stays in use while the store cuts waiting watches."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.harness import BOUNDS, TROUBLE, Case, main

ORDERS = {
    "name": "orders",
    "hostname": "pupu76.example",
    "prefix": "/orders/",
    "type": "idempotent",
    "maxAttempts": 2,
    "timeoutMs": 2000,
    "targetLatencyMs": 500,
    "priority": 2,
    "service": "work-orders",
}
DRAIN_S = BOUNDS["drainMs"] / 1000
CUT_AFTER_S = 1.0
"""The store cuts a watch that has waited for so long."""

SERVES_ON_S = 12.0
CLIENTS = 6


def run(case: Case) -> list[str]:
    """Play the case; return how the rule was broken."""
    for number in range(3):
        for zone in case.zones:
            case.add_searcher(f"i-{number}-{zone}", "work-orders", zone)
    case.publish([ORDERS], {"work-orders": 96})
    for zone in case.zones:
        case.add_gateway(zone)
    if TROUBLE:
        case.store.cuts_watches_after_s = CUT_AFTER_S
    case.start()
    stopped = threading.Event()

    def send_requests(number: int) -> None:
        client, sequence = case.client(case.gateways[number % len(case.gateways)]), 0
        while not stopped.wait(0.05):
            sequence += 1
            client.request("/orders/x", f"{number:02d}{sequence:014x}")

    clients = [threading.Thread(target=send_requests, args=(n,)) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    time.sleep(3.0)
    # This searcher never reports that it drains: its entry is removed, and it serves on.
    leaving = case.searchers[0]
    case.store.remove(f"servers/{leaving.id}")
    confirmed_at = time.monotonic() - case.record.started_at
    time.sleep(SERVES_ON_S)
    stopped.set()
    for client in clients:
        client.join()
    runs = case.record.of("run", searcher=leaving.id)
    after = [event["t"] - confirmed_at for event in runs if event["t"] > confirmed_at]
    last = max(after, default=0.0)
    print(f"{len(after)} runs at {leaving.id} after the removal, the last {last:.2f} s after it")
    return [
        f"DRAIN: {event['request']} reached {leaving.id} {event['t'] - confirmed_at:.2f} s after"
        " the store confirmed that it is gone"
        for event in runs
        if event["t"] > confirmed_at + DRAIN_S
    ]


main(Path(__file__).resolve().parent, run)
