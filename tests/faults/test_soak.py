"""Runs the soak with the fixed seeds of CI."""
import pytest

from soak import run


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_break_no_promise(seed):
    found, finished = run(seed, 20)
    assert found == [], "seed %d" % seed
    assert finished > 10
