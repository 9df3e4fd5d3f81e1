"""Specifications as transition systems, checked with z3 by induction and in bounded runs."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum
from types import SimpleNamespace
from typing import Any

import z3

State = Any
"""The variables of a specification in one state, as attributes."""

Predicate = Callable[[State], Any]


@dataclass(frozen=True)
class Action:
    """One step of the protocol or of its environment.

    The step may occur if ``guard`` holds. ``change`` gives the new values of the variables that
    change.
    """

    name: str
    guard: Any
    change: dict[str, Any]


@dataclass(frozen=True)
class Property:
    """An invariant of every reachable state, and the users' requirement that it covers.

    ``faults`` names the seeded faults, which are deliberate errors in the actions, that violate it.
    """

    name: str
    requirement: str
    holds: Predicate
    faults: tuple[str, ...] = ()


@dataclass(frozen=True)
class Specification:
    """A transition system and the properties that it must have.

    ``actions`` takes a state and the name of a seeded fault, ``""`` for none.
    ``inductive_invariant`` holds in the start state, is preserved by every action and implies the
    properties. ``bounds`` says which numbers are fixed; the number of steps is not. Violations and
    ``goals`` are searched for in runs of at most ``max_steps`` steps.
    """

    name: str
    bounds: str
    max_steps: int
    variables: dict[str, z3.SortRef]
    start: Predicate
    actions: Callable[[State, str], Sequence[Action]]
    inductive_invariant: Predicate
    properties: Sequence[Property]
    goals: dict[str, Predicate] = field(default_factory=dict)


class Verdict(Enum):
    """The result of one check with z3."""

    PROVED = "proved by induction, any number of steps"
    NOT_INDUCTIVE = "not inductive"
    VIOLATED = "violated"
    REACHED = "reached"
    NOT_FOUND = "not found within the bound"


def prove(specification: Specification, fault: str = "") -> dict[str, Verdict]:
    """Try to prove by induction that each property holds in every reachable state.

    Return the verdict on each property by its name.
    """
    now, then = _state(specification, 0), _state(specification, 1)
    step = _step(specification, now, then, fault)
    inductive = _is_valid(
        z3.Implies(specification.start(now), specification.inductive_invariant(now))
    )
    inductive &= _is_valid(
        z3.Implies(
            z3.And(specification.inductive_invariant(now), step),
            specification.inductive_invariant(then),
        )
    )
    return {
        item.name: (
            Verdict.PROVED
            if inductive
            and _is_valid(z3.Implies(specification.inductive_invariant(now), item.holds(now)))
            else Verdict.NOT_INDUCTIVE
        )
        for item in specification.properties
    }


def find_violation(specification: Specification, item: Property, fault: str) -> Verdict:
    """Search for a run from the start that violates ``item`` while ``fault`` is seeded."""
    found = _find(specification, fault, lambda state: z3.Not(item.holds(state)))
    return Verdict.VIOLATED if found else Verdict.NOT_FOUND


def find_goal(specification: Specification, goal: str) -> Verdict:
    """Search for a run that reaches ``goal``.

    A specification in which no goal can be reached might satisfy its properties trivially.
    """
    found = _find(specification, "", specification.goals[goal])
    return Verdict.REACHED if found else Verdict.NOT_FOUND


def _find(specification: Specification, fault: str, wanted: Predicate) -> bool:
    """Return whether some run of 1 to ``max_steps`` steps ends in a state that is ``wanted``."""
    solver = z3.Solver()
    states = [_state(specification, 0)]
    solver.add(specification.start(states[0]))
    for step_count in range(1, specification.max_steps + 1):
        states.append(_state(specification, step_count))
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
