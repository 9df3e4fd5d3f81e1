"""Ordinary requests behind long ones that a searcher has answered before it has read them.

A searcher answers long requests early, keeps the connection and reads the rest 1.5 s later. Between
the two, callers send small requests, and leave after 0.3 s without an answer.
"""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Caller,
    Deployment,
    Record,
    Searcher,
    main,
    make_configuration,
    make_route,
    run_together,
    with_trouble,
)

CALLERS = 8
ROUNDS = 2
LONG = b"x" * 250_000
LONG_FROM = 100_000
EARLY_ANSWER_S = 0.15
READS_ON_S = 1.5
LEAVES_S = 0.3
TIME_BUDGET_MS = 4_000
ALLOWED_S = 0.5
A_FEW = 3


class EarlyAnswers(Searcher):
    """A searcher that rejects long requests before they are in, and reads the rest later."""

    def handle(self, connection, stream, first, headers) -> None:
        """Answer one request."""
        id = headers.get("x-masticgate-request-id", "")
        if int(headers.get("content-length", "0")) < LONG_FROM or not with_trouble():
            super().handle(connection, stream, first, headers)
            return
        time.sleep(EARLY_ANSWER_S)
        connection.sendall(self.response(headers, b"too long", status=413))
        self.record.write(f"{self.name} has answered {id} early")
        time.sleep(READS_ON_S)
        stream.read_body(headers)
        self.record.write(f"{self.name} has read the rest of {id}")


def play(record: Record) -> int:
    """Play the case and return whether the rule held."""
    routes = [make_route("r-a", "/a/", service="gowu98c", timeoutMs=TIME_BUDGET_MS)]
    with Deployment() as deployment:
        store, gateway = deployment.store, deployment.gateways[0]
        searcher = EarlyAnswers(record, "i-1", "gowu98c", "127.0.0.1", 0)
        store.put("servers/i-1", searcher.entry())
        store.put("op/config", make_configuration(3, routes, ["gowu98c"]))
        if not deployment.start():
            return CANNOT_RUN
        left_at: dict[str, float] = {}

        def ask_long(caller: Caller, id: str) -> None:
            reply = caller.ask("POST", "/a/x", id, TIME_BUDGET_MS, LONG)
            record.write(f"{id}: {reply}")

        def ask_and_leave(id: str) -> None:
            caller = Caller(gateway, timeout_s=LEAVES_S)
            reply = caller.ask("GET", "/a/x", id, TIME_BUDGET_MS)
            caller.close()
            left_at[id] = time.monotonic()
            record.write(f"{id}: {reply}; its client has closed the connection")

        for turn in range(ROUNDS):
            callers = [Caller(gateway) for _ in range(CALLERS)]
            # Requests at the same time open as many connections to the searcher.
            searcher.work_s = 0.2
            warm = run_together(
                [
                    lambda c=c, i=f"warm-{turn}-{n}": c.ask("GET", "/a/x", i, TIME_BUDGET_MS)
                    for n, c in enumerate(callers)
                ]
            )
            if any(reply.status != 200 for reply in warm):
                return CANNOT_RUN
            searcher.work_s = 0.02
            long = [
                threading.Thread(target=ask_long, args=(caller, f"long-{turn}-{number}"))
                for number, caller in enumerate(callers)
            ]
            for thread in long:
                thread.start()
            time.sleep(0.4)
            run_together([lambda i=f"short-{turn}-{n}": ask_and_leave(i) for n in range(CALLERS)])
            for thread in long:
                thread.join()
            time.sleep(1.0)
            for caller in callers:
                caller.close()

        late = 0
        for run in searcher.runs:
            after = run.at - left_at.get(run.id, run.at)
            if after > ALLOWED_S:
                late += 1
                record.write(f"{run.id} reached the searcher {after:.2f} s after its client left")
        record.write(f"{late} requests reached it over {ALLOWED_S} s after their client had left")
        return BROKEN if late > A_FEW else HELD


main(__file__, play)
