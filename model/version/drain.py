"""Specification of an upstream that leaves, as several sources report it to an owner.

The text, the host list and the upstream itself report an incarnation as "leaving" or "alive". Each
report may arrive late, duplicated, out of order or never. An incarnation that was reported as
leaving stays so; a later incarnation is new and may receive work.
"""

from z3 import And, BoolSort, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

INCARNATIONS = (1, 2)
# ``current`` is the upstream's incarnation; ``known`` and ``known_leaving`` are what the owner
# knows. ``leaving_received`` says whether the owner received a report "leaving" of an
# incarnation, ``work`` whether it sent work to it, and ``late_work`` whether it did so after such
# a report.
VARIABLES = {"current": IntSort(), "known": IntSort(), "known_leaving": BoolSort()}
for _i in INCARNATIONS:
    VARIABLES |= {f"alive{_i}": BoolSort(), f"leaving{_i}": BoolSort()}  # reports in transit
    VARIABLES |= {
        f"leaving_received{_i}": BoolSort(),
        f"late_work{_i}": BoolSort(),
        f"work{_i}": BoolSort(),
    }


def start(s: State) -> object:
    flags = [
        getattr(s, f"{n}{i}")
        for n in ("leaving", "leaving_received", "late_work")
        for i in INCARNATIONS
    ]
    unset = [Not(flag) for flag in (*flags, s.known_leaving, s.alive2, s.work1, s.work2)]
    return And(s.current == 1, s.known == 1, s.alive1, *unset)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("restart", s.current == 1, {"current": 2, "alive2": True})]
    for i in INCARNATIONS:
        steps += receive_reports(s, i, fault)
        known = And(s.known == i, Not(s.known_leaving))
        received = getattr(s, f"leaving_received{i}")
        change = {f"work{i}": True, f"late_work{i}": Or(getattr(s, f"late_work{i}"), received)}
        steps.append(Action("send new work", known, change))
        steps.append(Action("leave", s.current == i, {f"leaving{i}": True}))
    return steps


def receive_reports(s: State, i: int, fault: str) -> list[Action]:
    """Return the steps in which a report on incarnation ``i`` arrives.

    A report on a later incarnation takes precedence, and then "leaving" over "alive".
    """
    newer = Or(i > s.known, fault == "accept reports on earlier incarnations")
    same = And(s.known == i, fault == "let a later report clear leaving")
    accepts_alive = And(getattr(s, f"alive{i}"), Or(newer, same))
    leaving = getattr(s, f"leaving{i}")
    return [
        Action("receive report alive", accepts_alive, {"known": i, "known_leaving": False}),
        Action(
            "receive report leaving",
            And(leaving, i >= s.known),
            {"known": i, "known_leaving": True, f"leaving_received{i}": True},
        ),
    ]


def inductive_invariant(s: State) -> object:
    sticky = [
        Implies(
            getattr(s, f"leaving_received{i}"), Or(s.known > i, And(s.known == i, s.known_leaving))
        )
        for i in INCARNATIONS
    ]
    return And(no_new_work(s), *sticky)


def no_new_work(s: State) -> object:
    return And([Not(getattr(s, f"late_work{i}")) for i in INCARNATIONS])


SPECIFICATION = Specification(
    "version/drain",
    f"{len(INCARNATIONS)} incarnations",
    8,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "an upstream known to be leaving receives no new work",
            "An upstream that is leaving receives no new work after a few seconds.",
            no_new_work,
            ("let a later report clear leaving", "accept reports on earlier incarnations"),
        ),
    ),
    {"the next incarnation has work": lambda s: And(s.leaving_received1, s.work2)},
)
