"""How a stopping gateway divides its grace time, after which it is killed."""

ACCEPT_GRACE_SHARE = 0.45
"""The share of the grace time during which a stopping gateway still accepts connections.

It is long enough for two failed readiness checks, after which no more callers connect.
"""

FINISH_GRACE_SHARE = 0.92
"""The share of the grace time after which a gateway no longer waits for requests in progress.

A searcher may be at work until the last sixth of the grace time; its answer has to be passed on.
"""

REPLY_GRACE_SHARE = 0.96
"""The share of the grace time until which the last replies are sent.

The rest is for the last log lines.
"""
