"""The properties of the specifications are proved, and every seeded fault is detected."""

import pytest
from model._spec import Verdict, find_goal, find_violation, prove
from model.specifications import SPECIFICATIONS

FAULTS = [
    pytest.param(specification, item, fault, id=f"{specification.name}-{item.name}-{fault}")
    for specification in SPECIFICATIONS
    for item in specification.properties
    for fault in item.faults
]
GOALS = [(specification, goal) for specification in SPECIFICATIONS for goal in specification.goals]


class TestSpecification:
    @pytest.mark.parametrize("specification", SPECIFICATIONS, ids=lambda s: s.name)
    def test_every_property_is_inductive(self, specification):
        assert set(prove(specification).values()) == {Verdict.PROVED}

    @pytest.mark.parametrize(("specification", "goal"), GOALS)
    def test_goal_is_reachable(self, specification, goal):
        assert find_goal(specification, goal) is Verdict.REACHED

    @pytest.mark.parametrize(("specification", "item", "fault"), FAULTS)
    def test_seeded_fault_violates_the_property(self, specification, item, fault):
        assert find_violation(specification, item, fault) is Verdict.VIOLATED

    @pytest.mark.parametrize("specification", SPECIFICATIONS, ids=lambda s: s.name)
    def test_every_property_has_a_seeded_fault(self, specification):
        assert all(item.faults for item in specification.properties)
