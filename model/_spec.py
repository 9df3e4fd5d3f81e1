"""What a specification consists of, and its check by z3: induction, and bounded runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from types import SimpleNamespace
from typing import Any

import z3

State = Any
"""The variables of a specification, as attributes."""

Predicate = Callable[[State], Any]


@dataclass(frozen=True)
class Action:
    """One step of the protocol or of its surroundings: where ``guard`` holds, ``change``."""

    name: str
    guard: Any
    change: dict[str, Any]


@dataclass(frozen=True)
class Property:
    """An invariant of every reachable state, and the brief's promise that it covers.

    ``faults`` names the seeded faults that break it.
    """

    name: str
    promise: str
    holds: Predicate
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class Specification:
    """A transition system; ``actions`` takes the state and the seeded fault, ``""`` for none.

    ``lemma`` strengthens the properties until they are inductive. ``fixed`` says what is fixed;
    the number of steps is not. Faults and ``goals`` are looked for in runs of ``depth`` steps.
    """

    name: str
    fixed: str
    depth: int
    variables: dict[str, z3.SortRef]
    start: Predicate
    actions: Callable[[State, str], Sequence[Action]]
    lemma: Predicate
    properties: Sequence[Property]
    goals: dict[str, Predicate] = field(default_factory=dict)


class Verdict(Enum):
    """What z3 found."""

    PROVED = "proved by induction, any number of steps"
    NOT_INDUCTIVE = "not inductive"
    VIOLATED = "violated"
    REACHED = "reached"
    NOT_FOUND = "not found within the bound"


def prove(specification: Specification, fault: str = "") -> dict[str, Verdict]:
    """Prove by induction that every property holds in every reachable state."""
    now, then = _state(specification, 0), _state(specification, 1)
    step = _step(specification, now, then, fault)
    inductive = _is_valid(z3.Implies(specification.start(now), specification.lemma(now)))
    inductive &= _is_valid(
        z3.Implies(z3.And(specification.lemma(now), step), specification.lemma(then))
    )
    return {
        item.name: (
            Verdict.PROVED
            if inductive and _is_valid(z3.Implies(specification.lemma(now), item.holds(now)))
            else Verdict.NOT_INDUCTIVE
        )
        for item in specification.properties
    }


def find_violation(specification: Specification, item: Property, fault: str) -> Verdict:
    """Look for a run from the start that breaks ``item`` with ``fault`` seeded."""
    found = _find(specification, fault, lambda state: z3.Not(item.holds(state)))
    return Verdict.VIOLATED if found else Verdict.NOT_FOUND


def find_goal(specification: Specification, goal: str) -> Verdict:
    """Look for a run that reaches ``goal``, so that no property holds for want of steps."""
    found = _find(specification, "", specification.goals[goal])
    return Verdict.REACHED if found else Verdict.NOT_FOUND


def _find(specification: Specification, fault: str, wanted: Predicate) -> bool:
    """Ask for one depth after the other, each time adding one step."""
    solver = z3.Solver()
    states = [_state(specification, 0)]
    solver.add(specification.start(states[0]))
    for depth in range(1, specification.depth + 1):
        states.append(_state(specification, depth))
        solver.add(_step(specification, states[-2], states[-1], fault))
        solver.push()
        solver.add(wanted(states[-1]))
        if solver.check() == z3.sat:
            return True
        solver.pop()
    return False


def _step(specification: Specification, now: State, then: State, fault: str) -> Any:
    choices = []
    for action in specification.actions(now, fault):
        kept = [
            getattr(then, name) == action.change.get(name, getattr(now, name))
            for name in specification.variables
        ]
        choices.append(z3.And(action.guard, *kept))
    return z3.Or(choices)


def _state(specification: Specification, number: int) -> State:
    constants = {n: z3.Const(f"{n}@{number}", s) for n, s in specification.variables.items()}
    return SimpleNamespace(**constants)


def _is_valid(claim: Any) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(claim))
    return bool(solver.check() == z3.unsat)
