"""Tests of the harness itself, where a mistake would look like a fault of the system."""
import os
import subprocess
import sys

import cluster
import pytest
from test_faults import wait_repaired

PRINT_PORTS = """
import sys
sys.path.insert(0, %r)
from cluster import free_port
print(*[free_port() for _ in range(400)], flush=True)
sys.stdin.read()
"""


def ports_of_concurrent_runs(count):
    """The ports that `count` concurrent test processes reserve."""
    script = PRINT_PORTS % cluster.__file__.rsplit("/", 1)[0]
    runs = [subprocess.Popen([sys.executable, "-c", script], text=True, stdin=subprocess.PIPE,
                             stdout=subprocess.PIPE) for _ in range(count)]
    ports = [[int(port) for port in run.stdout.readline().split()] for run in runs]
    for run in runs:
        run.communicate("")
    return ports


def test_concurrent_runs_never_get_the_same_port():
    ports = ports_of_concurrent_runs(3)
    assert [len(taken) for taken in ports] == [400] * 3
    assert len(set(sum(ports, []))) == 3 * 400


def test_ports_lie_outside_the_ephemeral_range_of_the_kernel():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    ports = [cluster.free_port() for _ in range(100)]
    assert [port for port in ports if first <= port <= last] == []


class ScriptedCluster:
    """A cluster whose serving() returns the given lists one after the other."""

    def __init__(self, *lists):
        self.lists = list(lists)

    def serving(self):
        return self.lists.pop(0) if len(self.lists) > 1 else self.lists[0]


def test_a_group_that_closes_is_not_taken_for_a_repaired_one():
    old = {"domain": "a", "members": ["a1", "a2"]}
    new = {"domain": "a", "members": ["a2", "a3"]}
    other = {"domain": "b", "members": ["b1", "b2"]}
    scripted = ScriptedCluster([old, other], [other], [other], [other], [old, new, other],
                               [new, other])
    assert wait_repaired(scripted, "a", "a1") is new


# A run of which the deployment offers no day must fail: nothing was simulated, so nothing is shown.
@pytest.mark.parametrize("outcomes, code", [
    (["", "", "not offered"], 0), (["", "LOST 1"], 1), (["not simulated: no bench"], 1),
    (["not offered", "not offered"], 1), ([], 1)])
def test_a_run_without_simulated_days_fails(outcomes, code):
    sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "bench", "days"))
    import kinds
    assert kinds.verdict([kinds.NOT_OFFERED if o == "not offered" else o
                          for o in outcomes]) == code
