"""Specification of the revisions of the operators' text on three hosts, which never decrease.

The platform answers with any published revision, however stale. A push of a peer may be late,
duplicated or lost. A host starts without a revision, and applies that of a serving peer before it
serves; it applies a newer one of the platform afterwards. At least one host always serves; without
any, only the platform's revision would be left.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

HOSTS = (1, 2, 3)
# ``decreased`` says whether a serving host ever applied a lower revision than it had.
VARIABLES = {"published": IntSort(), "in_force": IntSort(), "decreased": BoolSort()}
for _h in HOSTS:
    VARIABLES |= {f"revision{_h}": IntSort(), f"serving{_h}": BoolSort()}


def start(s: State) -> object:
    """All hosts serve the first revision.

    ``in_force`` is the highest revision that every serving host has had.
    """
    hosts = [And(getattr(s, f"revision{h}") == 1, getattr(s, f"serving{h}")) for h in HOSTS]
    return And(s.published == 1, s.in_force == 1, Not(s.decreased), *hosts)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("publish", True, {"published": s.published + 1}), advance_in_force(s)]
    for h in HOSTS:
        revision, serving = getattr(s, f"revision{h}"), getattr(s, f"serving{h}")
        others = Or([getattr(s, f"serving{p}") for p in HOSTS if p != h])
        steps += [
            Action("crash", And(serving, others), {f"serving{h}": False, f"revision{h}": 0}),
            apply_revision(s, h, s.published, fault),
            # A stale platform may report any published revision, and 1 is the worst case.
            apply_revision(s, h, 1, fault),
        ]
        if fault == "serve before a peer replied":
            steps.append(Action(fault, Not(serving), {f"serving{h}": True, f"revision{h}": 1}))
        for peer in HOSTS:
            if peer != h:
                peer_revision = getattr(s, f"revision{peer}")
                ready = And(Not(serving), getattr(s, f"serving{peer}"))
                newest = If(peer_revision > revision, peer_revision, revision)
                steps += [
                    Action("start", ready, {f"serving{h}": True, f"revision{h}": newest}),
                    apply_revision(s, h, peer_revision, fault),
                ]
    return steps


def apply_revision(s: State, h: int, offered: object, fault: str) -> Action:
    """Return the step in which host ``h``, if it serves, applies ``offered`` if that is newer."""
    revision = getattr(s, f"revision{h}")
    newer = Or(offered > revision, And(fault == "apply a lower revision", offered > 0))
    change = {f"revision{h}": offered, "decreased": Or(s.decreased, offered < revision)}
    return Action("apply revision", And(getattr(s, f"serving{h}"), newer), change)


def advance_in_force(s: State) -> Action:
    """Return the step that counts the next revision as in force, once every serving host has it."""
    reached = [
        Implies(getattr(s, f"serving{h}"), getattr(s, f"revision{h}") > s.in_force) for h in HOSTS
    ]
    return Action("in force everywhere", And(reached), {"in_force": s.in_force + 1})


def inductive_invariant(s: State) -> object:
    serving = Or([getattr(s, f"serving{h}") for h in HOSTS])
    return And(Not(s.decreased), s.published >= 1, serving, in_force_stays(s))


def in_force_stays(s: State) -> object:
    return And(
        [
            Implies(getattr(s, f"serving{h}"), getattr(s, f"revision{h}") >= s.in_force)
            for h in HOSTS
        ]
    )


def never_decreases(s: State) -> object:
    return Not(s.decreased)


SPECIFICATION = Specification(
    "version/adoption",
    f"{len(HOSTS)} hosts, one of them always serving",
    7,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "no host's revision decreases",
            "An accepted configuration is in force everywhere within seconds and never reverts.",
            never_decreases,
            ("apply a lower revision",),
        ),
        Property(
            "a revision in force everywhere stays in force over restarts",
            "An accepted configuration is in force everywhere within seconds and never reverts.",
            in_force_stays,
            ("apply a lower revision", "serve before a peer replied"),
        ),
    ),
    {
        "a second edit is in force on every host that serves": lambda s: And(
            s.in_force == 3, s.serving1
        )
    },
)
