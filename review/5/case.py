"""A planned stop cuts requests whose answers come before the last sixth of the grace time."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.harness import BOUNDS, ID, TROUBLE, Case, main

ORDERS = {
    "name": "orders",
    "hostname": "pupu76.example",
    "prefix": "/orders/",
    "type": "non_idempotent",
    "maxAttempts": 2,
    "timeoutMs": 9000,
    "targetLatencyMs": 6000,
    "priority": 2,
    "service": "work-orders",
}
DEADLINE_MS = 8000
GRACE_S = BOUNDS["graceS"]
LAST_SIXTH_S = GRACE_S * 5 / 6
SENT_BEFORE_STOP_S = 0.5
ENDS_S = (1.0, 3.0, 4.4, 4.94, 4.96)
"""The ends of the runs at the searchers, counted from the SIGTERM."""


def run(case: Case) -> list[str]:
    """Play the case; return how the rule was broken."""
    zone = case.zones[0]
    for number in range(len(ENDS_S)):
        searcher = case.add_searcher(f"i-{number}", "work-orders", zone)
        searcher.work_of = lambda message: SENT_BEFORE_STOP_S + ENDS_S[int(message.headers[ID], 16)]
    case.publish([ORDERS], {"work-orders": 96})
    gateway = case.add_gateway(zone)
    case.start()

    def book(number: int) -> None:
        case.client(gateway).request(
            "/orders/x", f"{number:016x}", method="POST", body=b"lamp", deadline_ms=DEADLINE_MS
        )

    callers = [threading.Thread(target=book, args=(number,)) for number in range(len(ENDS_S))]
    for caller in callers:
        caller.start()
    time.sleep(SENT_BEFORE_STOP_S)
    stopped_at = time.monotonic() - case.record.started_at
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
    for caller in callers:
        caller.join()
    problems = []
    for number, end in enumerate(ENDS_S):
        request = f"{number:016x}"
        if not case.record.of("run", request=request):
            continue
        answered = case.record.of("answered", request=request, status=200)
        cut = case.record.of("no_answer", request=request)
        for event in [*answered, *cut]:
            at = event["t"] - stopped_at
            print(f"run to end {end:.2f} s after the SIGTERM: {event['event']} {at:.2f} s after it")
        if cut and cut[0]["t"] - stopped_at < LAST_SIXTH_S:
            problems.append(
                f"LOST: {request} had been passed on; its connection ended without an answer"
                f" {cut[0]['t'] - stopped_at:.2f} s after the SIGTERM"
            )
    return problems


main(Path(__file__).resolve().parent, run)
