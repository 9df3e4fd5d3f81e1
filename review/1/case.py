"""A query asks a shard again that has answered already, and merges all of its answers."""

import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins.harness import (
    ID,
    MISSING_PARTS,
    PART_STAMPS,
    RECORD_BYTES,
    TROUBLE,
    Case,
    main,
    records_of,
)

DOMAINS = ("tvm", "ekm", "tcr")
ENTRY_DOMAIN = "kkd"
"""It has no searchers, so that its gateway has all parts of its queries gathered by others."""

SHARDS = [f"{domain}-{number}" for domain in DOMAINS for number in range(3)]
WORK_S = 0.08
TOP = 5
QUERY = {
    "name": "recall",
    "hostname": "pupu76.example",
    "prefix": "/recall/",
    "type": "idempotent",
    "maxAttempts": 2,
    "timeoutMs": 2000,
    "targetLatencyMs": 600,
    "priority": 1,
    "fanoutServices": SHARDS,
    "topK": TOP,
    "minShardRatio": 0.85,
}
DEADLINE_MS = 1500

FIRST_LOSSES = ("ekm-2", "tcr-2")
"""The shards whose answers to some queries are lost in both periods."""

LATER_LOSSES = ("tvm-2",)
"""The shards of which one more loses its answers to each losing query of the second period."""

LOSS_S = 0.2
"""All answers of a losing shard to a query are lost for so long after its first run of it."""

QUERY_INTERVAL_S = 0.26
FIRST_QUERIES = 16
QUERIES_FOR_ONE_LOSS = 3
FIRST_ASKED_AGAIN_S = 0.17
"""The time from a query to the first request to a shard that its gatherer has not heard from."""

BUDGET_WINDOW_S = 10.0
REST_S = 2.8
MARGIN_S = 0.37
"""The queries of the second period are sent this long before a repeat leaves the window."""


def check(case: Case) -> list[str]:
    """Return how the answers break the rule MIXED for queries over many shards."""
    problems = []
    for event in case.record.of("answered", status=200):
        request = event["request"]
        stamps = event["headers"][PART_STAMPS].split(", ")
        services = Counter(stamp.split(".")[1] for stamp in stamps)
        twice = {service: count for service, count in services.items() if count > 1}
        if twice:
            problems.append(f"MIXED: {request}: the part stamps name services repeatedly: {twice}")
        missing = int(event["headers"].get(MISSING_PARTS, "0"))
        if len(stamps) + missing != len(SHARDS):
            problems.append(
                f"MIXED: {request}: {len(stamps)} parts and {missing} missing of {len(SHARDS)}"
            )
        records = []
        for service in services:
            body = records_of(service, request)
            records += [body[i : i + RECORD_BYTES] for i in range(0, len(body), RECORD_BYTES)]
        if event["body"] != b"".join(sorted(records, reverse=True)[:TOP]).decode("latin-1"):
            problems.append(f"MIXED: {request}: the body isn't the greatest {TOP} records")
    return problems


def run(case: Case) -> list[str]:
    """Play the case; return how the rule was broken."""
    lost: dict[str, tuple[str, ...]] = {}
    first_runs: dict[tuple[str, str], float] = {}

    def loses(service: str):
        def loses_answer(message) -> bool:
            request = message.headers[ID]
            now = time.monotonic()
            since = now - first_runs.setdefault((service, request), now - WORK_S)
            return service in lost.get(request, ()) and since < LOSS_S

        return loses_answer

    case.zones = (*DOMAINS, ENTRY_DOMAIN)
    for service in SHARDS:
        for number in range(2):
            searcher = case.add_searcher(f"i-{service}-{number}", service, service[:3], WORK_S)
            searcher.loses_answer = loses(service)
    case.publish([QUERY], dict.fromkeys(SHARDS, 25))
    for zone in case.zones:
        case.add_gateway(zone)
    # The budgets for repeats grow to their full size over the first 10 s.
    case.start(settle_s=12.0)
    client = case.client(case.gateways[-1])
    stopped = threading.Event()

    def query_elsewhere() -> None:
        """Send queries to another gateway, all of whose answers arrive."""
        other, number = case.client(case.gateways[0]), 0
        while not stopped.wait(0.15):
            number += 1
            other.request("/recall/x", f"4{number:015x}", deadline_ms=DEADLINE_MS)

    elsewhere = threading.Thread(target=query_elsewhere)
    elsewhere.start()

    def query(request: str, losses: tuple[str, ...] = ()) -> None:
        if TROUBLE:
            lost[request] = losses
        client.request("/recall/x", request, deadline_ms=DEADLINE_MS)

    # The first period: one query in three loses the answers of two shards, for 4.2 s.
    losing_at = []
    for number in range(FIRST_QUERIES):
        started_at = time.monotonic()
        if number % QUERIES_FOR_ONE_LOSS == 1:
            losing_at.append(started_at)
            query(f"1{number:015x}", FIRST_LOSSES)
        else:
            query(f"1{number:015x}")
        time.sleep(max(0.0, started_at + QUERY_INTERVAL_S - time.monotonic()))
    # The second period: again some queries lose answers, now of a third shard, too.
    for number, (at, shard) in enumerate(zip(losing_at, LATER_LOSSES, strict=False)):
        send_at = at + FIRST_ASKED_AGAIN_S + BUDGET_WINDOW_S - MARGIN_S
        time.sleep(max(0.0, send_at - time.monotonic()))
        query(f"2{number:015x}", (shard, *FIRST_LOSSES))
        query(f"3{number:015x}")
    # The rest of the period, in which no more answers are lost.
    time.sleep(REST_S)
    stopped.set()
    elsewhere.join()
    for service in (*FIRST_LOSSES, *LATER_LOSSES):
        ran = len(case.record.of("ran", service=service))
        gone = sum(service in e["searcher"] for e in case.record.of("answer_lost"))
        print(f"{service}: {gone} of {ran} answers lost")
    statuses = Counter((e["request"][0], e["status"]) for e in case.record.of("answered"))
    print("answers by period and status:", dict(sorted(statuses.items())))
    return check(case)


main(Path(__file__).resolve().parent, run)
