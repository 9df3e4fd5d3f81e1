"""Kept connections after a configuration that raises the limits on a request.

Each caller opens a connection, is served once, and stays. Then the operator publishes a version
with higher limits. Later than ``configApplyMs`` after its confirmation, each caller sends one
request that the new version allows and the old one does not.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Caller,
    Deployment,
    Gateway,
    Record,
    Reply,
    Searcher,
    main,
    make_configuration,
    make_route,
    run_together,
    with_trouble,
)

CONFIG_APPLY_S = 3.0
WAIT_S = CONFIG_APPLY_S + 1.5
CALLERS = 10
LOW = {"maxHeaderBytes": 8_192, "maxBodyBytes": 65_536}
HIGH = {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144}
BODY = b"x" * 100_000
LONG_VALUE = "v" * 12_000


def ask_with_long_head(caller: Caller, id: str) -> Reply:
    """Send a request whose head is longer than the lower limit, and return its answer."""
    head = (
        f"GET /a/x HTTP/1.1\r\nHost: pupu76.example\r\nX-Masticgate-Request-Id: {id}\r\n"
        f"X-Masticgate-Deadline-Ms: 1500\r\nX-Long: {LONG_VALUE}\r\n\r\n"
    )
    caller.connection.sendall(head.encode())
    return caller.receive()


def play(record: Record) -> int:
    """Play the case and return whether the rule held."""
    routes = [make_route("r-a", "/a/", service="gowu98c", timeoutMs=1_500)]
    with Deployment(("tvm", "tvm")) as deployment:
        store = deployment.store
        for number in (1, 2):
            searcher = Searcher(record, f"i-{number}", "gowu98c", "127.0.0.1", 0)
            store.put(f"servers/i-{number}", searcher.entry())
        first = LOW if with_trouble() else HIGH
        store.put("op/config", make_configuration(3, routes, ["gowu98c"], **first))
        record.write(f"the store has confirmed version 3 with {first}")
        if not deployment.start():
            return CANNOT_RUN

        def open_and_ask(gateway: Gateway, number: int) -> Caller | None:
            caller = Caller(gateway)
            reply = caller.ask("POST", "/a/x", f"warm-{gateway.name}-{number}", 1_500, b"small")
            return caller if reply.status == 200 else None

        kept = {
            gateway: run_together(
                [lambda g=gateway, n=n: open_and_ask(g, n) for n in range(CALLERS)]
            )
            for gateway in deployment.gateways
        }
        if any(None in callers for callers in kept.values()):
            return CANNOT_RUN
        if with_trouble():
            store.put("op/config", make_configuration(5, routes, ["gowu98c"], **HIGH))
            record.write(f"the store has confirmed version 5 with {HIGH}")
        time.sleep(WAIT_S)

        denied = sent = 0
        for gateway, callers in kept.items():
            for kind, ask in (
                ("long body", lambda c, i: c.ask("POST", "/a/x", i, 1_500, BODY)),
                ("long head", ask_with_long_head),
            ):
                reply = ask(Caller(gateway), f"new-{kind[5:]}-{gateway.name}")
                record.write(f"{gateway.name}: {kind} on a new connection: {reply}")
                if reply.status != 200:
                    return CANNOT_RUN
            for number, caller in enumerate(callers):
                id = f"kept-{gateway.name}-{number}"
                if number % 2:
                    kind, reply = "long head", ask_with_long_head(caller, id)
                else:
                    kind, reply = "long body", caller.ask("POST", "/a/x", id, 1_500, BODY)
                record.write(f"{gateway.name}: {kind} on a kept connection ({id}): {reply}")
                sent += 1
                denied += reply.status in (413, 431)
        record.write(f"{denied} of {sent} requests on kept connections got 413 or 431")
        return BROKEN if denied else HELD


main(__file__, play)
