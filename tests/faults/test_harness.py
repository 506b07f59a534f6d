"""The harness itself: what it hands out and how it reads, where a slip looks like a fault of the
system."""
import os
import subprocess
import sys

import cluster
import pytest
from test_faults import wait_repaired

ASK = """
import sys
sys.path.insert(0, %r)
from cluster import free_port
print(*[free_port() for _ in range(400)], flush=True)
sys.stdin.read()
"""


def ports_of_runs_side_by_side(count):
    """The ports that so many test processes get while all of them live."""
    script = ASK % cluster.__file__.rsplit("/", 1)[0]
    runs = [subprocess.Popen([sys.executable, "-c", script], text=True, stdin=subprocess.PIPE,
                             stdout=subprocess.PIPE) for _ in range(count)]
    ports = [[int(port) for port in run.stdout.readline().split()] for run in runs]
    for run in runs:
        run.communicate("")
    return ports


def test_runs_side_by_side_never_get_the_same_port():
    ports = ports_of_runs_side_by_side(3)
    assert [len(mine) for mine in ports] == [400] * 3
    assert len(set(sum(ports, []))) == 3 * 400


def test_the_kernel_gives_out_no_port_that_a_killed_process_needs_again():
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        first, last = map(int, file.read().split())
    ports = [cluster.free_port() for _ in range(100)]
    assert [port for port in ports if first <= port <= last] == []


class Told:
    """A cluster that tells of these lists of serving groups one after the other."""

    def __init__(self, *lists):
        self.lists = list(lists)

    def serving(self):
        return self.lists.pop(0) if len(self.lists) > 1 else self.lists[0]


def test_a_group_that_closes_is_not_taken_for_a_repaired_one():
    old = {"domain": "a", "members": ["a1", "a2"]}
    new = {"domain": "a", "members": ["a2", "a3"]}
    other = {"domain": "b", "members": ["b1", "b2"]}
    told = Told([old, other], [other], [other], [other], [old, new, other], [new, other])
    assert wait_repaired(told, "a", "a1") is new


# A run of days for each kind of trouble ended as a success though nothing had been played: days that
# a deployment does not offer counted neither as kept nor as broken.
@pytest.mark.parametrize("outcomes, code", [
    (["", "", "not offered"], 0), (["", "LOST 1"], 1), (["not played: no bench"], 1),
    (["not offered", "not offered"], 1), ([], 1)])
def test_a_run_in_which_no_day_was_played_is_no_success(outcomes, code):
    sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "..", "bench", "days"))
    import kinds
    assert kinds.verdict([kinds.NOT_OFFERED if o == "not offered" else o
                          for o in outcomes]) == code
