"""The operators' text on three hosts: revisions only rise, also over restarts.

The platform answers with any published revision, however stale; a peer's push may be late,
duplicated or lost. A host that starts has no memory: it takes the highest of what the platform and
a serving peer say before it serves. Where none serves any more, only the platform's revision is
left.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

HOSTS = (1, 2, 3)
VARIABLES = {"published": IntSort(), "floor": IntSort(), "fell": BoolSort()}
for _h in HOSTS:
    VARIABLES |= {f"revision{_h}": IntSort(), f"serving{_h}": BoolSort()}


def start(s: State) -> object:
    """All hosts serve the first revision; ``floor`` is what every serving host has had."""
    hosts = [And(getattr(s, f"revision{h}") == 1, getattr(s, f"serving{h}")) for h in HOSTS]
    return And(s.published == 1, s.floor == 1, Not(s.fell), *hosts)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("publish", True, {"published": s.published + 1}), raise_floor(s)]
    for h in HOSTS:
        revision, serving = getattr(s, f"revision{h}"), getattr(s, f"serving{h}")
        others = Or([getattr(s, f"serving{p}") for p in HOSTS if p != h])
        steps += [
            Action("crash", And(serving, others), {f"serving{h}": False, f"revision{h}": 0}),
            adopt(s, h, s.published, fault),
            adopt(s, h, 1, fault),  # A stale platform says any published revision, so the first.
        ]
        if fault == "serve before a peer was heard":
            steps.append(Action(fault, Not(serving), {f"serving{h}": True, f"revision{h}": 1}))
        for peer in HOSTS:
            if peer != h:
                heard = getattr(s, f"revision{peer}")
                ready = And(Not(serving), getattr(s, f"serving{peer}"))
                newest = If(heard > revision, heard, revision)
                steps += [
                    Action("start", ready, {f"serving{h}": True, f"revision{h}": newest}),
                    adopt(s, h, heard, fault),
                ]
    return steps


def adopt(s: State, h: int, offered: object, fault: str) -> Action:
    """A serving host hears of a revision, from the platform or a peer, and takes a newer one."""
    revision = getattr(s, f"revision{h}")
    newer = Or(offered > revision, And(fault == "adopt a lower revision", offered > 0))
    change = {f"revision{h}": offered, "fell": Or(s.fell, offered < revision)}
    return Action("adopt", And(getattr(s, f"serving{h}"), newer), change)


def raise_floor(s: State) -> Action:
    """Every serving host now has the next revision: it is in force everywhere."""
    reached = [
        Implies(getattr(s, f"serving{h}"), getattr(s, f"revision{h}") > s.floor) for h in HOSTS
    ]
    return Action("in force everywhere", And(reached), {"floor": s.floor + 1})


def lemma(s: State) -> object:
    serving = Or([getattr(s, f"serving{h}") for h in HOSTS])
    return And(Not(s.fell), s.published >= 1, serving, in_force_stays(s))


def in_force_stays(s: State) -> object:
    return And(
        [Implies(getattr(s, f"serving{h}"), getattr(s, f"revision{h}") >= s.floor) for h in HOSTS]
    )


def never_falls(s: State) -> object:
    return Not(s.fell)


SPECIFICATION = Specification(
    "version/adoption",
    f"{len(HOSTS)} hosts, one of them always serving",
    7,
    VARIABLES,
    start,
    actions,
    lemma,
    (
        Property(
            "no host's revision falls",
            "An accepted configuration is in force everywhere within seconds and never reverts.",
            never_falls,
            ("adopt a lower revision",),
        ),
        Property(
            "what was in force everywhere stays so over restarts",
            "An accepted configuration is in force everywhere within seconds and never reverts.",
            in_force_stays,
            ("adopt a lower revision", "serve before a peer was heard"),
        ),
    ),
    {"a restarted host serves a newer revision": lambda s: And(s.floor == 3, s.serving1)},
)
