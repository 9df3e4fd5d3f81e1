"""Texts of operators that are shared by tests."""

from pathlib import Path

EXAMPLES = Path(__file__).resolve().parents[1] / "examples"

SMALL = """
// Three departments; the desk's service depends on the ledger's.
{
  "format": 1,
  "deployment": "small",
  "departments": {"desk": {}, "ledger": {}, "orders": {}},
  "services": {
    "desk/1": {"department": "desk", "depends_on": ["ledger/1"], "searchers": [
      {"id": "d1a", "address": "127.0.0.1:20001", "failure_domain": "north", "slots": 2,
       "connections": 25},
      {"id": "d1b", "address": "127.0.0.1:20002", "failure_domain": "south", "slots": 2,
       "connections": 25}]},
    "ledger/1": {"department": "ledger", "searchers": [
      {"id": "l1a", "address": "127.0.0.1:20003", "failure_domain": "north", "slots": 2,
       "connections": 25},
      {"id": "l1b", "address": "127.0.0.1:20004", "failure_domain": "south", "slots": 2,
       "connections": 25}]},
    "orders": {"department": "orders", "bookings": true, "searchers": [
      {"id": "oa", "address": "127.0.0.1:20005", "failure_domain": "north", "slots": 2,
       "connections": 40},
      {"id": "ob", "address": "127.0.0.1:20006", "failure_domain": "south", "slots": 2,
       "connections": 40}]}
  }
}
"""


def example(name: str) -> str:
    """Return the text ``name`` of the examples folder."""
    return (EXAMPLES / f"{name}.jsonc").read_text(encoding="utf-8")
