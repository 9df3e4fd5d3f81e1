"""Promises of the gateway under random faults; ``make soak`` runs it long and with fresh seeds."""

import os

import pytest

from .soak import Soak

LONG_RUN_S = float(os.environ.get("MASTICGATE_SOAK_SECONDS", "60"))
SEED = int(os.environ.get("MASTICGATE_SOAK_SEED", "1"))
SHORT_RUN_S = 6.0
FAILED_SEEDS = [
    # Both searchers that may be asked for /one/ ran it and lost the answer, by the 2 % that are
    # always lost; the check of recovery took that for a failure of the gateway.
    301,
    315,
    # A retry found no searcher: the other of two had just been ejected.
    508,
]
"""Seeds that failed once, each with a line on its cause."""


class TestGatewaySoak:
    @pytest.mark.parametrize("seed", [1, *FAILED_SEEDS])
    def test_a_short_run_keeps_every_promise(self, seed, tmp_path):
        soak = Soak(seed, tmp_path)
        soak.run(SHORT_RUN_S)
        assert soak.problems == []
        assert len(soak.replies) > 100

    @pytest.mark.soak
    @pytest.mark.timeout(1200)
    def test_a_long_run_keeps_every_promise(self, tmp_path):
        soak = Soak(SEED, tmp_path)
        soak.run(LONG_RUN_S)
        assert soak.problems == []
