"""The target size of the system, its budgets, and what follows from them for one host."""

import json
from math import ceil, log2
from typing import Any

from tests.standins.fleet import ROOT

from bench.version import DEPLOYMENTS, accept_configuration
from masticgate.process._member_rules import CROSS_DOMAIN_NEIGHBOURS, NEAR_NEIGHBOURS
from masticgate.process._members import RETRANSMIT_FACTOR
from masticgate.version import WATCHERS_PER_DOMAIN
from masticgate.version._placement import SERVICES_PER_OWNER, department_group_size

HOSTS = 3_300
SEARCHERS = 22_000
QUERIES_A_SECOND = 580_000
FAN_OUT = 71
"""The number of sub-queries of one query, each to one service."""

P99_MS = 230.0
"""The budget for the 99th percentile of the latency of a query."""

REGIONS = 5
DOMAINS = 17
"""The number of failure domains."""

CHANGES_A_DAY = 13_000
"""The number of configuration changes."""

CHANGE_SECONDS = 13.0
"""The budget for the time until a configuration change is in force on every host."""

CONTROL_CPU_BUDGET = 0.029
"""The budget for the control work of one host, as a share of a core."""

CONTROL_MEMORY_BUDGET = 32e6
"""The budget for the control state of one host in bytes."""

CONTROL_BYTES_BUDGET = 3_000.0
"""The budget for the control traffic of one host in bytes per second."""

FAILURES_A_DAY = 140
REPLACEMENTS_A_DAY = 1_400
CONNECTION_LIMIT = 25
"""The most connections to one searcher."""

VALUE_BYTES_LIMIT = 1e6
"""The size limit of one value in the configuration service."""

PLATFORM_READS_LIMIT = 2_000.0
"""The most reads of the platform per second by all hosts."""

SECONDS_A_DAY = 86_400.0
HITS_A_REPLY = 10

TODAY = accept_configuration(DEPLOYMENTS["kerala"].text)
TODAY_SEARCHERS = sum(len(service.searchers) for service in TODAY.services.values())
SEARCHERS_A_SERVICE = 2
SERVICES = SEARCHERS // SEARCHERS_A_SERVICE
TODAY_DEPARTMENTS = len(TODAY.departments)
DEPARTMENTS = round(SEARCHERS / TODAY_SEARCHERS * TODAY_DEPARTMENTS)

QUERIES_A_HOST = QUERIES_A_SECOND / HOSTS
SUB_QUERIES_A_HOST = QUERIES_A_HOST * FAN_OUT
OWNERS_A_QUERY = ceil(FAN_OUT / SERVICES_PER_OWNER)
ASKS_A_HOST = QUERIES_A_HOST * OWNERS_A_QUERY
SERVICES_A_HOST = SERVICES / HOSTS
SUB_QUERIES_A_SERVICE = QUERIES_A_SECOND * FAN_OUT / SERVICES
SUB_QUERIES_A_SEARCHER = QUERIES_A_SECOND * FAN_OUT / SEARCHERS
NEIGHBOURS = NEAR_NEIGHBOURS + CROSS_DOMAIN_NEIGHBOURS
PEERS_A_HOST = HOSTS - 1
WATCHERS = DOMAINS * WATCHERS_PER_DOMAIN
CHANGES_A_SECOND = CHANGES_A_DAY / SECONDS_A_DAY
SENDS_PER_UPDATE = RETRANSMIT_FACTOR * ceil(log2(HOSTS + 1))
"""How many times a host sends a membership update before it drops it."""

MEMBER_UPDATES_A_DAY = FAILURES_A_DAY * 3 + REPLACEMENTS_A_DAY * 2
"""Three updates for a failure (the host is suspect, dead and back), and two for a replacement.

The two of a replacement say that the host leaves and is back.
"""

OWNER_TABLES_A_DAY = (FAILURES_A_DAY + REPLACEMENTS_A_DAY) * 2
"""The number of owner tables that a host computes because a host went or came back."""

DOMAIN_HOSTS = round(HOSTS / DOMAINS)
REGION_HOSTS = HOSTS // REGIONS
DEPARTMENT_GROUP_HOSTS = department_group_size(round(SERVICES / DEPARTMENTS))


class Slopes:
    """The measured slopes and other figures of ``docs/slopes.json``.

    A slope is the straight line through a cost that was measured at several sizes.
    """

    def __init__(self) -> None:
        text = (ROOT / "docs" / "slopes.json").read_text()
        self.figures: dict[str, Any] = json.loads(text)

    def slope(self, name: str) -> float:
        """Return the slope of the line: the cost of one more item."""
        return float(self.figures["slopes"][name]["slope"])

    def value_at(self, name: str, size: float) -> float:
        """Return the value of the line at ``size``."""
        line = self.figures["slopes"][name]
        return float(line["slope"] * size + line["start"])

    def table_seconds(self) -> float:
        """Return the processor seconds to compute one owner table at the target size."""
        return self.value_at("wide_table", DEPARTMENTS) / 1e6

    def apply_seconds(self) -> float:
        """Return the processor seconds to apply a delta and accept the text at the target size."""
        return self.value_at("adopt", SEARCHERS) / 1e6

    def accept_seconds(self) -> float:
        """Return the processor seconds to accept a whole text at the target size."""
        return self.value_at("accept", SEARCHERS) / 1e6

    def text_bytes(self) -> float:
        """Return the bytes of the whole text at the target size."""
        return self.value_at("text_bytes", SEARCHERS)
