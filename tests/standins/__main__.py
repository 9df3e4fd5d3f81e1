"""Runs stand-ins for the platform or for searchers: ``python -m tests.standins PLAN.json``.

The plan describes either the platform or several searchers. ``Fleet`` writes the plans.
"""

import json
import sys
from pathlib import Path
from typing import Any

import uvloop

from tests.standins.platform import Platform, serve_platform
from tests.standins.searcher import Behaviour, Searcher, serve_searchers


async def run(plan: dict[str, Any]) -> None:
    """Serve the platform or the searchers of ``plan``; neither of the two calls returns."""
    if "platform" in plan:
        await serve_platform(Platform(), plan["platform"], plan["control"])
    searchers = {
        item["address"]: Searcher(
            item["id"],
            item["service"],
            item["slots"],
            item["connections"],
            Behaviour(**plan["behaviour"]),
        )
        for item in plan["searchers"]
    }
    await serve_searchers(searchers, plan["control"])


if __name__ == "__main__":
    uvloop.run(run(json.loads(Path(sys.argv[1]).read_text())))
