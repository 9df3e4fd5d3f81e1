"""Specification of a gateway that follows a store which is restored from older copies.

The store gives each write the next revision. A restore brings a copy back, raises the era, and
gives the revisions after the copy out again. The gateway reads everything or watches from the last
revision that it knows. One searcher lists itself, leaves and returns with a higher sequence; one
configuration is published in higher versions.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

# ``write`` identifies the latest write of the store and ``write_revision`` is its revision;
# ``listed`` is the sequence of the searcher's listing, 0 for none. ``copy_`` is the same in the
# copy, ``seen_`` in the gateway. ``departed`` is the highest sequence whose departure the gateway
# has seen, ``reused`` whether it used that listing again, ``decreased`` whether its configuration
# went back.
STORED = ("revision", "write", "write_revision", "version", "listed")
VARIABLES = {
    "era": IntSort(),
    "writes": IntSort(),
    "sequence": IntSort(),
    "seen_era": IntSort(),
    "seen_revision": IntSort(),
    "seen_write": IntSort(),
    "seen_version": IntSort(),
    "seen_listed": IntSort(),
    "departed": IntSort(),
    "reused": BoolSort(),
    "decreased": BoolSort(),
}
for _name in STORED:
    VARIABLES |= {_name: IntSort(), f"copy_{_name}": IntSort()}

IGNORES_ERA = "a watch of another era is applied"
TAKES_ANY_VERSION = "a restored store may state a lower version"
TAKES_ANY_LISTING = "what a restored store lists is used"


def start(s: State) -> object:
    """The gateway has read the first revision of the first era."""
    zeros = ("sequence", "listed", "copy_listed", "seen_listed", "departed")
    return And(
        *[
            getattr(s, name) == 1
            for name in VARIABLES
            if name not in (*zeros, "reused", "decreased")
        ],
        *[getattr(s, name) == 0 for name in zeros],
        Not(s.reused),
        Not(s.decreased),
    )


def actions(s: State, fault: str) -> list[Action]:
    same_era = s.seen_era == s.era
    may_watch = True if fault == IGNORES_ERA else same_era
    is_new = s.write_revision > s.seen_revision
    return [
        Action("publish", True, _write(s) | {"version": s.version + 1}),
        Action(
            "list searcher",
            s.listed == 0,
            _write(s) | {"listed": s.sequence + 1, "sequence": s.sequence + 1},
        ),
        Action("searcher leaves", s.listed > 0, _write(s) | {"listed": 0}),
        Action("copy", True, {f"copy_{name}": getattr(s, name) for name in STORED}),
        Action(
            "restore",
            True,
            {name: getattr(s, f"copy_{name}") for name in STORED} | {"era": s.era + 1},
        ),
        Action("read everything", True, _apply(s, fault) | {"seen_write": s.write}),
        Action(
            "watch",
            And(may_watch, s.revision >= s.seen_revision, is_new),
            _apply(s, fault) | {"seen_write": s.write},
        ),
        Action(
            "watch without changes",
            And(may_watch, s.revision >= s.seen_revision, Not(is_new)),
            {"seen_era": s.era, "seen_revision": s.revision},
        ),
    ]


def _write(s: State) -> dict[str, object]:
    """Return the changes by one write, which gets the next revision."""
    return {
        "revision": s.revision + 1,
        "write_revision": s.revision + 1,
        "writes": s.writes + 1,
        "write": s.writes + 1,
    }


def _apply(s: State, fault: str) -> dict[str, object]:
    """Return the changes by which the gateway applies what the store has now."""
    newer = True if fault == TAKES_ANY_VERSION else s.version > s.seen_version
    is_later = True if fault == TAKES_ANY_LISTING else s.listed > s.departed
    used = If(And(s.listed > 0, is_later), s.listed, 0)
    left = And(s.seen_listed > 0, used != s.seen_listed, s.seen_listed > s.departed)
    return {
        "seen_era": s.era,
        "seen_revision": s.revision,
        "seen_version": If(newer, s.version, s.seen_version),
        "decreased": Or(s.decreased, And(newer, s.version < s.seen_version)),
        "seen_listed": used,
        "departed": If(left, s.seen_listed, s.departed),
        "reused": Or(s.reused, And(used > 0, used <= s.departed)),
    }


def inductive_invariant(s: State) -> object:
    return And(
        misses_no_change(s),
        Not(s.reused),
        Not(s.decreased),
        s.seen_era <= s.era,
        s.write_revision <= s.revision,
        s.copy_write_revision <= s.copy_revision,
        Implies(
            s.seen_era == s.era,
            And(
                s.seen_revision <= s.revision,
                Implies(s.write_revision <= s.seen_revision, s.seen_write == s.write),
            ),
        ),
    )


def misses_no_change(s: State) -> object:
    return Implies(And(s.seen_era == s.era, s.seen_revision == s.revision), s.seen_write == s.write)


SPECIFICATION = Specification(
    "version/eras",
    "one store with one copy, one gateway, one searcher and one configuration",
    7,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "a gateway at the store's era and revision has its latest write",
            "What the store holds is in force within seconds, also after a restore.",
            misses_no_change,
            (IGNORES_ERA,),
        ),
        Property(
            "the configuration never goes back",
            "An accepted configuration is in force everywhere within seconds and never reverts.",
            lambda s: Not(s.decreased),
            (TAKES_ANY_VERSION,),
        ),
        Property(
            "a departure that was seen holds although the copy lost it",
            "A leaving upstream gets no new work.",
            lambda s: Not(s.reused),
            (TAKES_ANY_LISTING,),
        ),
    ),
    {
        "a searcher that left before a restore is used once it returns": lambda s: And(
            s.seen_era == 2, s.departed == 1, s.seen_listed == 2
        )
    },
)
