"""Specification of a searcher whose answers say that it leaves, or that it wants a pause.

A host hears it in any answer, whichever way the searcher's entry reads, and may hear an entry of
the present start at any time later. Only a later start of the searcher is new to the host. Time
passes in ticks.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or

from model._spec import Action, Property, Specification, State

DRAIN = 4
"""The ticks after the word within which a request may still reach the searcher."""

LAST_RESORT = 2
"""The ticks for which the host uses a leaving searcher if there is no other."""

PAUSES = (1, 3)

# ``left``, ``left_at`` and ``pause_ends`` are what the known start has said, ``host_leaving``,
# ``host_until`` and ``host_pause`` what the host keeps of that. ``late`` says whether a request was
# sent to it against its word, ``early`` whether one was withheld without any.
VARIABLES = {
    "now": IntSort(),
    "current": IntSort(),
    "known": IntSort(),
    "left": BoolSort(),
    "left_at": IntSort(),
    "pause_ends": IntSort(),
    "host_leaving": BoolSort(),
    "host_until": IntSort(),
    "host_pause": IntSort(),
    "late": BoolSort(),
    "early": BoolSort(),
    "served_next": BoolSort(),
}

FORGETS_WORD = "an entry that says ready undoes the word"
SHORTENS_PAUSE = "a later answer shortens the pause"
HEDGES_ANYWAY = "a hedge does not look at the pause"
FORGETS_START = "a later start inherits the pause"


def start(s: State) -> object:
    unset = [Not(flag) for flag in (s.left, s.host_leaving, s.late, s.early, s.served_next)]
    zero = [n == 0 for n in (s.now, s.left_at, s.pause_ends, s.host_until, s.host_pause)]
    return And(s.current == 1, s.known == 1, *unset, *zero)


def actions(s: State, fault: str) -> list[Action]:
    answers = s.known == s.current
    steps = [
        Action("tick", True, {"now": s.now + 1}),
        Action("restart", s.current == 1, {"current": 2}),
        Action(
            "answer says leaving",
            answers,
            {
                "left": True,
                "left_at": If(s.left, s.left_at, s.now),
                "host_leaving": True,
                "host_until": If(s.host_leaving, s.host_until, s.now + LAST_RESORT),
            },
        ),
        Action(
            "entry of the known start says ready",
            True,
            {"host_leaving": False} if fault == FORGETS_WORD else {},
        ),
        Action("entry of a later start", s.known < s.current, _new_start(s, fault)),
    ]
    steps += [
        Action("answer asks for a pause", answers, _pause(s, pause, fault)) for pause in PAUSES
    ]
    return [*steps, *_sends(s, fault)]


def _new_start(s: State, fault: str) -> dict[str, object]:
    change = {"known": s.current, "left": False, "pause_ends": 0, "host_leaving": False}
    return change if fault == FORGETS_START else change | {"host_pause": 0}


def _pause(s: State, pause: int, fault: str) -> dict[str, object]:
    ends = s.now + pause
    kept = If(s.host_pause > ends, s.host_pause, ends)
    return {
        "pause_ends": If(s.pause_ends > ends, s.pause_ends, ends),
        "host_pause": ends if fault == SHORTENS_PAUSE else kept,
    }


def _sends(s: State, fault: str) -> list[Action]:
    stays = Or(Not(s.host_leaving), s.now < s.host_until)
    awake = s.now >= s.host_pause
    sent = {
        "late": Or(s.late, _against_word(s)),
        "served_next": Or(s.served_next, s.known == 2),
    }
    allowed = stays if fault == HEDGES_ANYWAY else And(stays, awake)
    withheld = {"early": Or(s.early, Not(Or(s.left, s.now < s.pause_ends)))}
    return [
        Action("send request", allowed, sent),
        Action("withhold request", Not(And(stays, awake)), withheld),
    ]


def _against_word(s: State) -> object:
    return Or(And(s.left, s.now > s.left_at + DRAIN), s.now < s.pause_ends)


def inductive_invariant(s: State) -> object:
    return And(
        no_late_request(s),
        no_early_refusal(s),
        s.left == s.host_leaving,
        Implies(s.left, s.host_until <= s.left_at + LAST_RESORT),
        s.pause_ends == s.host_pause,
    )


def no_late_request(s: State) -> object:
    return Not(s.late)


def no_early_refusal(s: State) -> object:
    return Not(s.early)


SPECIFICATION = Specification(
    "process/abstention",
    "one searcher of 2 starts",
    9,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "no request after the word and its bound",
            "A searcher that says that it leaves, or wants a pause, is sent nothing more in time.",
            no_late_request,
            (FORGETS_WORD, SHORTENS_PAUSE, HEDGES_ANYWAY),
        ),
        Property(
            "no longer pause than was asked",
            "A searcher that has said nothing is used.",
            no_early_refusal,
            (FORGETS_START,),
        ),
    ),
    {"the next start gets requests": lambda s: And(s.served_next, s.known == 2)},
)
