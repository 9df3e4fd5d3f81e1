"""Specification of one search over two services; the search may restart on another snapshot.

Attempt 1 searches snapshot 1 of the index, and attempt 2 snapshot 2. A reply names its attempt, its
service and its snapshot. It stays in transit, so that it may arrive late, any number of times or
never. Each service has one shard of weight one.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or, Sum

from model._spec import Action, Property, Specification, State

ATTEMPTS = (1, 2)
SERVICES = (1, 2)
OTHER_SNAPSHOT = 3
"""A snapshot other than the one that an attempt searches."""

# For each service, ``merged`` is the snapshot of the merged reply and ``count`` the number of
# merged replies. ``reply`` and ``other_snapshot`` say whether a reply with hits from the
# attempt's snapshot, or from another one, is in transit.
VARIABLES = {"attempt": IntSort(), "answered": BoolSort(), "coverage": IntSort()}
for _v in SERVICES:
    VARIABLES |= {f"waiting{_v}": BoolSort(), f"merged{_v}": IntSort(), f"count{_v}": IntSort()}
    VARIABLES |= {f"reply{_a}_{_v}": BoolSort() for _a in ATTEMPTS}
    VARIABLES |= {f"other_snapshot{_a}_{_v}": BoolSort() for _a in ATTEMPTS}


def start(s: State) -> object:
    """Attempt 1 waits for both services; until a reply is merged, ``merged`` is snapshot 0."""
    fresh = [s.attempt == 1, Not(s.answered), s.coverage == 0]
    for v in SERVICES:
        fresh += [getattr(s, f"waiting{v}"), getattr(s, f"merged{v}") == 0]
        fresh += [getattr(s, f"count{v}") == 0]
        fresh += [
            Not(getattr(s, f"{n}{a}_{v}")) for n in ("reply", "other_snapshot") for a in ATTEMPTS
        ]
    return And(fresh)


def actions(s: State, fault: str) -> list[Action]:
    restart = {"attempt": 2, "coverage": 0}
    for v in SERVICES:
        restart |= {f"waiting{v}": True, f"merged{v}": 0, f"count{v}": 0}
    if fault == "keep what was merged":
        restart = {"attempt": 2, "waiting1": True, "waiting2": True}
    unanswered = Not(s.answered)
    steps = [
        Action("restart on another snapshot", And(unanswered, s.attempt == 1), restart),
        Action("answer", unanswered, {"answered": True}),
    ]
    for v in SERVICES:
        steps.append(
            Action(
                "record a failure",
                And(unanswered, getattr(s, f"waiting{v}")),
                {f"waiting{v}": False},
            )
        )
        for a in ATTEMPTS:
            steps += replies(s, a, v, fault)
    return steps


def replies(s: State, a: int, v: int, fault: str) -> list[Action]:
    """Return the steps of the replies of service ``v`` to attempt ``a``."""
    waiting = Or(getattr(s, f"waiting{v}"), fault == "merge a duplicate reply")
    is_current = Or(s.attempt == a, fault == "merge a reply of a previous attempt")
    can_merge = And(Not(s.answered), waiting, is_current)
    merge = {
        f"waiting{v}": False,
        f"count{v}": getattr(s, f"count{v}") + 1,
        "coverage": s.coverage + 1,
    }
    reply, other_snapshot = f"reply{a}_{v}", f"other_snapshot{a}_{v}"
    steps = [
        Action("searcher replies", s.attempt >= a, {reply: True}),
        Action("searcher replies from another snapshot", s.attempt >= a, {other_snapshot: True}),
        Action("merge", And(getattr(s, reply), can_merge), merge | {f"merged{v}": a}),
    ]
    if fault == "merge any snapshot":
        other = And(getattr(s, other_snapshot), can_merge)
        steps.append(Action(fault, other, merge | {f"merged{v}": OTHER_SNAPSHOT}))
    return steps


def inductive_invariant(s: State) -> object:
    counts = [getattr(s, f"count{v}") for v in SERVICES]
    each = [
        And(Or(c == 0, c == 1), Implies(getattr(s, f"waiting{v}"), c == 0))
        for v, c in zip(SERVICES, counts, strict=True)
    ]
    exact = [(getattr(s, f"merged{v}") == 0) == (getattr(s, f"count{v}") == 0) for v in SERVICES]
    return And(one_snapshot(s), s.coverage == Sum(counts), *each, *exact)


def one_snapshot(s: State) -> object:
    merged = [getattr(s, f"merged{v}") for v in SERVICES]
    return And([Or(snapshot == 0, snapshot == s.attempt) for snapshot in merged])


def coverage_is_true(s: State) -> object:
    return s.coverage == Sum([If(getattr(s, f"merged{v}") != 0, 1, 0) for v in SERVICES])


def each_shard_once(s: State) -> object:
    return And([getattr(s, f"count{v}") <= 1 for v in SERVICES])


SPECIFICATION = Specification(
    "request/answer",
    f"{len(SERVICES)} services, {len(ATTEMPTS)} attempts",
    6,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "all that is merged is of the pinned snapshot",
            "Every answer comes from one snapshot of the index.",
            one_snapshot,
            ("merge any snapshot", "merge a reply of a previous attempt", "keep what was merged"),
        ),
        Property(
            "coverage is what was merged",
            "The coverage an answer reports is the coverage it truly has.",
            coverage_is_true,
            ("merge a duplicate reply",),
        ),
        Property(
            "no shard is merged twice",
            "Each caller receives the whole answer to its own request.",
            each_shard_once,
            ("merge a duplicate reply", "keep what was merged"),
        ),
    ),
    {"a second attempt is whole": lambda s: And(s.attempt == 2, s.answered, s.coverage == 2)},
)
