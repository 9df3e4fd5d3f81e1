"""One ticket: minted by one incarnation, used by several requests, run at most once.

Each request may begin one attempt, which carries the request's id. A message in transit stays
there: it may arrive late, any number of times or never, which covers delay, duplication and loss; a
pause is a delay. An owner that crashes takes with it what was on its connections.
"""

from z3 import And, BoolSort, If, Implies, IntSort, Not, Or, Sum

from model._spec import Action, Property, Specification, State

REQUESTS = (1, 2, 3)

MINTED, RUNNING, PROVEN_RUN, UNPROVEN = range(4)  # the ticket at its minter
ABSENT, QUEUED, SENT, DONE = range(4)  # the attempt at its owner
IDLE, IN_FLIGHT, RAN, REFUSED = range(4)  # the attempt at the searcher
SILENT, TOLD_NOT_RUN, TOLD_RAN, TOLD_UNKNOWN = range(4)  # what the caller was told

VARIABLES = {"minter_up": BoolSort(), "ticket": IntSort(), "current": IntSort()}
for _r in REQUESTS:
    VARIABLES |= {f"seen{_r}": BoolSort(), f"book{_r}": BoolSort(), f"told{_r}": IntSort()}
    VARIABLES |= {f"owner{_r}": IntSort(), f"upstream{_r}": IntSort(), f"runs{_r}": IntSort()}
    VARIABLES |= {f"says_ran{_r}": BoolSort(), f"says_not_run{_r}": BoolSort()}


def start(s: State) -> object:
    fresh = [s.minter_up, s.ticket == MINTED, s.current == 0]
    for r in REQUESTS:
        flags = [getattr(s, f"{n}{r}") for n in ("seen", "book", "says_ran", "says_not_run")]
        numbers = [getattr(s, f"{n}{r}") for n in ("told", "owner", "upstream", "runs")]
        fresh += [Not(flag) for flag in flags] + [number == 0 for number in numbers]
    return And(fresh)


def actions(s: State, fault: str) -> list[Action]:
    steps = [Action("minter crashes", s.minter_up, {"minter_up": False})]
    for r in REQUESTS:
        steps += minter_actions(s, r, fault) + owner_actions(s, r, fault)
    return steps


def minter_actions(s: State, r: int, fault: str) -> list[Action]:
    """A request reaches the minter, directly or forwarded by another host."""
    seen, told = getattr(s, f"seen{r}"), getattr(s, f"told{r}")
    ran, not_run = getattr(s, f"says_ran{r}"), getattr(s, f"says_not_run{r}")
    begins, waits = {f"seen{r}": True, f"book{r}": True}, And(s.minter_up, s.current == r)
    if fault == "begin a duplicate request again":
        begins[f"owner{r}"] = ABSENT
    usable = Or(s.ticket == MINTED, And(fault == "resend after unknown", s.ticket == UNPROVEN))
    fresh = Or(Not(seen), fault == "begin a duplicate request again")

    def tell(outcome: int) -> dict[str, object]:
        return {f"told{r}": If(told == SILENT, outcome, told)}

    steps = [
        Action(
            "begin an attempt",
            And(s.minter_up, usable, fresh),
            begins | {"ticket": RUNNING, "current": r},
        ),
        Action(
            "hear that it ran",
            And(waits, ran, Or(s.ticket == RUNNING, s.ticket == UNPROVEN)),
            {"ticket": PROVEN_RUN} | tell(TOLD_RAN),
        ),
        Action(
            "hear that it did not run",
            And(waits, not_run, s.ticket == RUNNING),
            {"ticket": MINTED} | tell(TOLD_NOT_RUN),
        ),
        Action("hear it late", And(waits, not_run, s.ticket == UNPROVEN), {"ticket": MINTED}),
        Action(
            "give up",
            And(waits, s.ticket == RUNNING),
            {"ticket": UNPROVEN} | tell(TOLD_UNKNOWN),
        ),
        Action("caller's host gives up", True, tell(TOLD_UNKNOWN)),
    ]
    if fault == "say not run when the minter is lost":
        steps.append(Action(fault, Not(s.minter_up), tell(TOLD_NOT_RUN)))
    if fault == "take over from a lost minter":
        steps.append(Action(fault, And(Not(s.minter_up), Not(seen)), begins))
    return steps


def owner_actions(s: State, r: int, fault: str) -> list[Action]:
    """The attempt at its owner, which remembers every attempt, and at the searcher."""
    book, owner = getattr(s, f"book{r}"), getattr(s, f"owner{r}")
    upstream, runs = getattr(s, f"upstream{r}"), getattr(s, f"runs{r}")
    not_run = {f"says_not_run{r}": True}
    new = Or(owner == ABSENT, And(fault == "forget attempts", owner == DONE))
    steps = [
        Action("receive", And(book, new), {f"owner{r}": QUEUED, f"upstream{r}": IDLE}),
        Action("refuse", And(book, owner == ABSENT), {f"owner{r}": DONE} | not_run),
        Action("cancel or expire", owner == QUEUED, {f"owner{r}": DONE} | not_run),
        Action("send", owner == QUEUED, {f"owner{r}": SENT, f"upstream{r}": IN_FLIGHT}),
        Action("run", upstream == IN_FLIGHT, {f"upstream{r}": RAN, f"runs{r}": runs + 1}),
        Action("searcher refuses", upstream == IN_FLIGHT, {f"upstream{r}": REFUSED}),
        Action(
            "pass on the result",
            And(owner == SENT, upstream == RAN),
            {f"owner{r}": DONE, f"says_ran{r}": True},
        ),
        Action(
            "pass on the refusal",
            And(owner == SENT, upstream == REFUSED),
            {f"owner{r}": DONE} | not_run,
        ),
        Action("lose the searcher", owner == SENT, {f"owner{r}": DONE}),
        Action("crash", True, {f"owner{r}": DONE, f"book{r}": False}),
    ]
    if fault == "say not run after sending":
        steps.append(Action(fault, owner == SENT, {f"owner{r}": DONE} | not_run))
    if fault == "expire without leaving the queue":
        steps.append(Action(fault, owner == QUEUED, not_run))
    return steps


def lemma(s: State) -> object:
    """What is known of each attempt; all but the current one never run."""
    known = [s.ticket >= MINTED, s.ticket <= UNPROVEN]
    for r in REQUESTS:
        seen, told = getattr(s, f"seen{r}"), getattr(s, f"told{r}")
        owner, upstream = getattr(s, f"owner{r}"), getattr(s, f"upstream{r}")
        ran, not_run = getattr(s, f"says_ran{r}"), getattr(s, f"says_not_run{r}")
        untouched = And(Not(getattr(s, f"book{r}")), upstream == IDLE, Not(ran), Not(not_run))
        current = And(s.ticket != MINTED, s.current == r)
        known += [
            getattr(s, f"runs{r}") == If(upstream == RAN, 1, 0),
            Implies(Not(seen), And(untouched, Or(owner == ABSENT, owner == DONE))),
            Implies(Or(owner == ABSENT, owner == QUEUED), upstream == IDLE),
            Implies(not_run, And(owner == DONE, Or(upstream == IDLE, upstream == REFUSED))),
            Implies(ran, upstream == RAN),
            Implies(told == TOLD_NOT_RUN, not_run),
            Implies(told == TOLD_RAN, ran),
            Or(current, Not(seen), not_run),
        ]
    return And(known)


def runs_at_most_once(s: State) -> object:
    return Sum([getattr(s, f"runs{r}") for r in REQUESTS]) <= 1


def not_run_is_final(s: State) -> object:
    return And(
        [
            Implies(getattr(s, f"told{r}") == TOLD_NOT_RUN, getattr(s, f"runs{r}") == 0)
            for r in REQUESTS
        ]
    )


def ran_is_true(s: State) -> object:
    told = Or([getattr(s, f"told{r}") == TOLD_RAN for r in REQUESTS])
    return Implies(told, Sum([getattr(s, f"runs{r}") for r in REQUESTS]) == 1)


SPECIFICATION = Specification(
    "request/booking",
    f"one ticket, {len(REQUESTS)} requests",
    12,
    VARIABLES,
    start,
    actions,
    lemma,
    (
        Property(
            "a booking runs at most once",
            "A non-idempotent booking or work order runs at most once.",
            runs_at_most_once,
            (
                "resend after unknown",
                "say not run after sending",
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
                "say not run after sending",
                "say not run when the minter is lost",
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
            s.told1 == TOLD_NOT_RUN, s.told2 == TOLD_RAN
        ),
        "an unknown outcome is learned late": lambda s: And(
            s.ticket == PROVEN_RUN, s.told1 == TOLD_UNKNOWN, s.current == 1
        ),
    },
)
