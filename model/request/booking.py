"""Specification of one ticket, whose booking runs at most once.

One incarnation of a host, the minter, mints the ticket, and several requests use it. Each request
may begin one attempt, which has the request's id. A message stays in transit, so that it may arrive
late, any number of times or never, which covers delay, duplication and loss; a pause of a host is a
delay. When an owner crashes, the message in transit to it is lost.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or, Sum

from model._spec import Action, Property, Specification, State

REQUESTS = (1, 2, 3)

# The states of the ticket at its minter.
MINTED, RUNNING, KNOWN_TO_HAVE_RUN, OUTCOME_UNKNOWN = range(4)
# The states of an attempt at its owner.
ABSENT, QUEUED, SENT, DONE = range(4)
# The states of an attempt at the searcher.
IDLE, IN_FLIGHT, RAN, REFUSED = range(4)
# The outcomes that were reported to the caller of a request.
NOT_REPORTED, REPORTED_NOT_RUN, REPORTED_RAN, REPORTED_UNKNOWN = range(4)

# ``current`` is the request of the latest attempt. For each request, ``begun`` says whether it
# began an attempt, and ``book``, ``ran_reply`` and ``not_run_reply`` whether such a message is in
# transit.
VARIABLES = {"minter_up": BoolSort(), "ticket": IntSort(), "current": IntSort()}
for _r in REQUESTS:
    VARIABLES |= {f"begun{_r}": BoolSort(), f"book{_r}": BoolSort(), f"reported{_r}": IntSort()}
    VARIABLES |= {f"owner{_r}": IntSort(), f"upstream{_r}": IntSort(), f"run_count{_r}": IntSort()}
    VARIABLES |= {f"ran_reply{_r}": BoolSort(), f"not_run_reply{_r}": BoolSort()}


def start(s: State) -> object:
    fresh = [s.minter_up, s.ticket == MINTED, s.current == 0]
    for r in REQUESTS:
        flags = [getattr(s, f"{n}{r}") for n in ("begun", "book", "ran_reply", "not_run_reply")]
        numbers = [getattr(s, f"{n}{r}") for n in ("reported", "owner", "upstream", "run_count")]
        fresh += [Not(flag) for flag in flags] + [number == 0 for number in numbers]
    return And(fresh)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("minter crashes", s.minter_up, {"minter_up": False})]
    for r in REQUESTS:
        steps += minter_actions(s, r, fault) + owner_actions(s, r, fault)
    return steps


def minter_actions(s: State, r: int, fault: str) -> list[Action]:
    """Return the steps of request ``r`` at the minter, where it arrives directly or forwarded."""
    begun, reported = getattr(s, f"begun{r}"), getattr(s, f"reported{r}")
    ran, not_run = getattr(s, f"ran_reply{r}"), getattr(s, f"not_run_reply{r}")
    begins, waits = {f"begun{r}": True, f"book{r}": True}, And(s.minter_up, s.current == r)
    if fault == "begin a duplicate request again":
        begins[f"owner{r}"] = ABSENT
    usable = Or(
        s.ticket == MINTED, And(fault == "resend after unknown", s.ticket == OUTCOME_UNKNOWN)
    )
    fresh = Or(Not(begun), fault == "begin a duplicate request again")

    def report(outcome: int) -> dict[str, object]:
        return {f"reported{r}": If(reported == NOT_REPORTED, outcome, reported)}

    steps = [
        Action(
            "begin an attempt",
            And(s.minter_up, usable, fresh),
            begins | {"ticket": RUNNING, "current": r},
        ),
        Action(
            "receive outcome ran",
            And(waits, ran, Or(s.ticket == RUNNING, s.ticket == OUTCOME_UNKNOWN)),
            {"ticket": KNOWN_TO_HAVE_RUN} | report(REPORTED_RAN),
        ),
        Action(
            "receive outcome not run",
            And(waits, not_run, s.ticket == RUNNING),
            {"ticket": MINTED} | report(REPORTED_NOT_RUN),
        ),
        Action(
            "receive late outcome not run",
            And(waits, not_run, s.ticket == OUTCOME_UNKNOWN),
            {"ticket": MINTED},
        ),
        Action(
            "time out",
            And(waits, s.ticket == RUNNING),
            {"ticket": OUTCOME_UNKNOWN} | report(REPORTED_UNKNOWN),
        ),
        Action("entry host times out", True, report(REPORTED_UNKNOWN)),
    ]
    if fault == "report not run when the minter is lost":
        steps.append(Action(fault, Not(s.minter_up), report(REPORTED_NOT_RUN)))
    if fault == "take over from a lost minter":
        steps.append(Action(fault, And(Not(s.minter_up), Not(begun)), begins))
    return steps


def owner_actions(s: State, r: int, fault: str) -> list[Action]:
    """Return the steps of the attempt of request ``r`` at its owner and at the searcher.

    The owner remembers every attempt, so that a duplicate message does not start it again.
    """
    book, owner = getattr(s, f"book{r}"), getattr(s, f"owner{r}")
    upstream, run_count = getattr(s, f"upstream{r}"), getattr(s, f"run_count{r}")
    not_run = {f"not_run_reply{r}": True}
    new = Or(owner == ABSENT, And(fault == "forget attempts", owner == DONE))
    steps = [
        Action("receive", And(book, new), {f"owner{r}": QUEUED, f"upstream{r}": IDLE}),
        Action("refuse", And(book, owner == ABSENT), {f"owner{r}": DONE} | not_run),
        Action("cancel or expire", owner == QUEUED, {f"owner{r}": DONE} | not_run),
        Action("send", owner == QUEUED, {f"owner{r}": SENT, f"upstream{r}": IN_FLIGHT}),
        Action("run", upstream == IN_FLIGHT, {f"upstream{r}": RAN, f"run_count{r}": run_count + 1}),
        Action("searcher refuses", upstream == IN_FLIGHT, {f"upstream{r}": REFUSED}),
        Action(
            "return the result",
            And(owner == SENT, upstream == RAN),
            {f"owner{r}": DONE, f"ran_reply{r}": True},
        ),
        Action(
            "return the refusal",
            And(owner == SENT, upstream == REFUSED),
            {f"owner{r}": DONE} | not_run,
        ),
        Action("lose the searcher", owner == SENT, {f"owner{r}": DONE}),
        Action("crash", True, {f"owner{r}": DONE, f"book{r}": False}),
    ]
    if fault == "report not run after sending":
        steps.append(Action(fault, owner == SENT, {f"owner{r}": DONE} | not_run))
    if fault == "expire without leaving the queue":
        steps.append(Action(fault, owner == QUEUED, not_run))
    return steps


def inductive_invariant(s: State) -> object:
    """Every attempt but the current one has not run and never will."""
    clauses = [s.ticket >= MINTED, s.ticket <= OUTCOME_UNKNOWN]
    for r in REQUESTS:
        begun, reported = getattr(s, f"begun{r}"), getattr(s, f"reported{r}")
        owner, upstream = getattr(s, f"owner{r}"), getattr(s, f"upstream{r}")
        ran, not_run = getattr(s, f"ran_reply{r}"), getattr(s, f"not_run_reply{r}")
        untouched = And(Not(getattr(s, f"book{r}")), upstream == IDLE, Not(ran), Not(not_run))
        current = And(s.ticket != MINTED, s.current == r)
        clauses += [
            getattr(s, f"run_count{r}") == If(upstream == RAN, 1, 0),
            Implies(Not(begun), And(untouched, Or(owner == ABSENT, owner == DONE))),
            Implies(Or(owner == ABSENT, owner == QUEUED), upstream == IDLE),
            Implies(not_run, And(owner == DONE, Or(upstream == IDLE, upstream == REFUSED))),
            Implies(ran, upstream == RAN),
            Implies(reported == REPORTED_NOT_RUN, not_run),
            Implies(reported == REPORTED_RAN, ran),
            Or(current, Not(begun), not_run),
        ]
    return And(clauses)


def runs_at_most_once(s: State) -> object:
    return Sum([getattr(s, f"run_count{r}") for r in REQUESTS]) <= 1


def not_run_is_final(s: State) -> object:
    return And(
        [
            Implies(
                getattr(s, f"reported{r}") == REPORTED_NOT_RUN, getattr(s, f"run_count{r}") == 0
            )
            for r in REQUESTS
        ]
    )


def ran_is_true(s: State) -> object:
    reported = Or([getattr(s, f"reported{r}") == REPORTED_RAN for r in REQUESTS])
    return Implies(reported, Sum([getattr(s, f"run_count{r}") for r in REQUESTS]) == 1)


SPECIFICATION = Specification(
    "request/booking",
    f"one ticket, {len(REQUESTS)} requests",
    12,
    VARIABLES,
    start,
    actions,
    inductive_invariant,
    (
        Property(
            "a booking runs at most once",
            "A non-idempotent booking or work order runs at most once.",
            runs_at_most_once,
            (
                "resend after unknown",
                "report not run after sending",
                "take over from a lost minter",
                "forget attempts",
                "begin a duplicate request again",
                "expire without leaving the queue",
            ),
        ),
        Property(
            "not run is final",
            'When a refusal says "not run", the request did not run.',
            not_run_is_final,
            (
                "report not run after sending",
                "report not run when the minter is lost",
                "begin a duplicate request again",
                "expire without leaving the queue",
            ),
        ),
        Property(
            "ran is true",
            "Each caller receives the whole answer to its own request.",
            ran_is_true,
            ("resend after unknown",),
        ),
    ),
    {
        "a retry runs after a first attempt did not": lambda s: And(
            s.reported1 == REPORTED_NOT_RUN, s.reported2 == REPORTED_RAN
        ),
        "an unknown outcome becomes known late": lambda s: And(
            s.ticket == KNOWN_TO_HAVE_RUN, s.reported1 == REPORTED_UNKNOWN, s.current == 1
        ),
    },
)
