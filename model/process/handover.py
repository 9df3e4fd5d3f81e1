"""One searcher's connections while its service passes from owner to owner.

Hosts disagree freely on who owns the service: each may believe it of itself at any time. At most
``CANDIDATES`` of them do; a crash closes a host's connections, as its kernel does.
"""

from z3 import And, IntSort, Sum

from model._spec import Action, Property, Specification, State

CANDIDATES = 8
HOSTS = range(1, CANDIDATES + 1)
VARIABLES = {"limit": IntSort(), "share": IntSort()} | {f"open{h}": IntSort() for h in HOSTS}


def start(s: State) -> object:
    """Any limit; the share of each candidate is its even part, rounded down."""
    shared = And(s.share >= 0, s.share * CANDIDATES <= s.limit)
    return And(shared, *[getattr(s, f"open{h}") == 0 for h in HOSTS])


def actions(s: State, fault: str) -> list[Action]:
    steps = []
    for h in HOSTS:
        opened = getattr(s, f"open{h}")
        room = opened < s.share
        if fault == "take the whole limit":
            room = opened < s.limit
        if fault == "one more for a hedge":
            room = opened <= s.share
        steps += [
            Action("believe to own it and connect", room, {f"open{h}": opened + 1}),
            Action("close a connection", opened > 0, {f"open{h}": opened - 1}),
            Action("stop owning it, or crash", opened > 0, {f"open{h}": 0}),
        ]
    return steps


def lemma(s: State) -> object:
    each = [And(getattr(s, f"open{h}") >= 0, getattr(s, f"open{h}") <= s.share) for h in HOSTS]
    return And(s.share * CANDIDATES <= s.limit, *each)


def within_limit(s: State) -> object:
    return Sum([getattr(s, f"open{h}") for h in HOSTS]) <= s.limit


def all_hold(s: State) -> object:
    return And([getattr(s, f"open{h}") == 1 for h in HOSTS])


SPECIFICATION = Specification(
    "process/handover",
    f"{CANDIDATES} candidates, any limit",
    9,
    VARIABLES,
    start,
    actions,
    lemma,
    (
        Property(
            "connections stay within the limit",
            "Servers limit their connections: never exceeded in sum, though hosts disagree.",
            within_limit,
            ("take the whole limit", "one more for a hedge"),
        ),
    ),
    {"all candidates hold one at once": all_hold},
)
