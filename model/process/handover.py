"""Specification of the connections to one searcher while the owner of its service changes.

Hosts may disagree on the owner of the service: each may consider itself the owner at any time, but
at most ``CANDIDATES`` of them do at once. When a host crashes, its kernel closes its connections.
"""

from z3 import And, IntSort, Sum

from model._spec import Action, Property, Specification, State

CANDIDATES = 8
HOSTS = range(1, CANDIDATES + 1)
VARIABLES = {"limit": IntSort(), "share": IntSort()} | {f"open{h}": IntSort() for h in HOSTS}


def start(s: State) -> object:
    """The limit is arbitrary; each candidate's share is at most an even part of it."""
    shared = And(s.share >= 0, s.share * CANDIDATES <= s.limit)
    return And(shared, *[getattr(s, f"open{h}") == 0 for h in HOSTS])


def actions(s: State, fault: str) -> list[Action]:
    steps = []
    for h in HOSTS:
        opened = getattr(s, f"open{h}")
        may_open = opened < s.share
        if fault == "use the whole limit":
            may_open = opened < s.limit
        if fault == "open one more for a hedge":
            may_open = opened <= s.share
        steps += [
            Action("consider itself the owner and connect", may_open, {f"open{h}": opened + 1}),
            Action("close a connection", opened > 0, {f"open{h}": opened - 1}),
            Action("lose the service or crash", opened > 0, {f"open{h}": 0}),
        ]
    return steps


def inductive_invariant(s: State) -> object:
    each = [And(getattr(s, f"open{h}") >= 0, getattr(s, f"open{h}") <= s.share) for h in HOSTS]
    return And(s.share * CANDIDATES <= s.limit, *each)


def within_limit(s: State) -> object:
    return Sum([getattr(s, f"open{h}") for h in HOSTS]) <= s.limit


def all_connected(s: State) -> object:
    return And([getattr(s, f"open{h}") == 1 for h in HOSTS])


SPECIFICATION = Specification(
    "process/handover",
    f"{CANDIDATES} candidates, any limit",
    9,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "connections stay within the limit",
            "Servers limit their connections: never exceeded in sum, though hosts disagree.",
            within_limit,
            ("use the whole limit", "open one more for a hedge"),
        ),
    ),
    {"all candidates hold a connection at once": all_connected},
)
