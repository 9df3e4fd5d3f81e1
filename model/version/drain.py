"""One upstream that leaves, as an owner hears of it from several sources.

The text, the host list and the upstream itself say "leaving" or "alive" of an incarnation; each
report may arrive late, duplicated, out of order or never. Leaving is sticky for its incarnation; a
later incarnation is new and may have work.
"""

from z3 import And, BoolSort, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

INCARNATIONS = (1, 2)
VARIABLES = {"current": IntSort(), "known": IntSort(), "known_leaving": BoolSort()}
for _i in INCARNATIONS:
    VARIABLES |= {f"alive{_i}": BoolSort(), f"leaving{_i}": BoolSort()}  # reports in transit
    VARIABLES |= {f"heard{_i}": BoolSort(), f"late{_i}": BoolSort(), f"work{_i}": BoolSort()}


def start(s: State) -> object:
    flags = [getattr(s, f"{n}{i}") for n in ("leaving", "heard", "late") for i in INCARNATIONS]
    quiet = [Not(flag) for flag in (*flags, s.known_leaving, s.alive2, s.work1, s.work2)]
    return And(s.current == 1, s.known == 1, s.alive1, *quiet)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("restart", s.current == 1, {"current": 2, "alive2": True})]
    for i in INCARNATIONS:
        steps += hear(s, i, fault)
        known = And(s.known == i, Not(s.known_leaving))
        heard = getattr(s, f"heard{i}")
        change = {f"work{i}": True, f"late{i}": Or(getattr(s, f"late{i}"), heard)}
        steps.append(Action("send new work", known, change))
        steps.append(Action("leave", s.current == i, {f"leaving{i}": True}))
    return steps


def hear(s: State, i: int, fault: str) -> list[Action]:
    """A report on incarnation ``i`` arrives; a later incarnation wins, then "leaving"."""
    newer = Or(i > s.known, fault == "take the last report on any incarnation")
    same = And(s.known == i, fault == "take the last report as clearing")
    takes_alive = And(getattr(s, f"alive{i}"), Or(newer, same))
    leaving = getattr(s, f"leaving{i}")
    return [
        Action("hear alive", takes_alive, {"known": i, "known_leaving": False}),
        Action(
            "hear leaving",
            And(leaving, i >= s.known),
            {"known": i, "known_leaving": True, f"heard{i}": True},
        ),
    ]


def lemma(s: State) -> object:
    sticky = [
        Implies(getattr(s, f"heard{i}"), Or(s.known > i, And(s.known == i, s.known_leaving)))
        for i in INCARNATIONS
    ]
    return And(no_new_work(s), *sticky)


def no_new_work(s: State) -> object:
    return And([Not(getattr(s, f"late{i}")) for i in INCARNATIONS])


SPECIFICATION = Specification(
    "version/drain",
    f"{len(INCARNATIONS)} incarnations",
    8,
    VARIABLES,
    start,
    actions,
    lemma,
    (
        Property(
            "an upstream heard to be leaving gets no new work",
            "An upstream that is leaving receives no new work after a few seconds.",
            no_new_work,
            ("take the last report as clearing", "take the last report on any incarnation"),
        ),
    ),
    {"the next incarnation has work": lambda s: And(s.heard1, s.work2)},
)
