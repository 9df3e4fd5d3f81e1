"""Configuration texts of a chosen size, for measurements."""

import json

from tests.texts import example

from masticgate import Revision
from masticgate.version import Accepted, Configuration, Document, accept_text, parse_document


def scaled_text(copies: int, edited: bool = False) -> str:
    """Return a text with ``copies`` copies of the deployment kerala, each in its own departments.

    If ``edited``, one searcher has one slot more.
    """
    document = parse_document(example("kerala"))
    assert isinstance(document, Document)
    source = document.value
    assert isinstance(source, dict)
    whole = dict(source, departments={}, services={})
    for copy in range(copies):
        part = json.dumps({key: source[key] for key in ("departments", "services")})
        part = part.replace("127.0.0.1:", f"127.0.{copy // 250}.{copy % 250 + 1}:")
        for kind, items in json.loads(part).items():
            renamed = {f"c{copy}-{name}": item for name, item in items.items()}
            whole[kind].update(renamed)
    for name, service in whole["services"].items():
        rename_service(service, name.partition("-")[0])
    if edited:
        first = next(s for s in whole["services"].values() if s.get("searchers"))
        first["searchers"][0]["slots"] += 1
    return json.dumps(whole)


def rename_service(service: dict, prefix: str) -> None:
    """Change the ids in a copied service to those of its own copy."""
    service["department"] = f"{prefix}-{service['department']}"
    service["depends_on"] = [f"{prefix}-{name}" for name in service.get("depends_on", ())]
    for searcher in service.get("searchers", ()):
        searcher["id"] = f"{prefix}-{searcher['id']}"


def accept_configuration(text: str, revision: int = 1) -> Configuration:
    """Return the configuration in ``text``, which must be valid."""
    result = accept_text(text, Revision(revision))
    assert isinstance(result, Accepted), result
    return result.configuration


def flat_text(sizes: list[int]) -> str:
    """Return a text with one department for each of ``sizes``, of that many services.

    Each service has one searcher.
    """
    services = {
        f"d{size}/{n}": {
            "department": f"d{size}",
            "searchers": [
                {
                    "id": f"s{size}-{n}",
                    "address": f"127.0.0.1:{20000 + sum(sizes[:place]) + n}",
                    "failure_domain": ("north", "south")[n % 2],
                    "slots": 2,
                    "connections": 25,
                }
            ],
        }
        for place, size in enumerate(sizes)
        for n in range(size)
    }
    departments = {f"d{size}": {} for size in sizes}
    whole = {"format": 1, "deployment": "flat", "departments": departments, "services": services}
    return json.dumps(whole)
