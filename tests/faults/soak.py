"""Injects random faults, alone and in pairs, from a printed seed, and checks all guarantees at the
end."""
import argparse
import random
import sys
import time

from checker import Traffic, check_records
from cluster import Cluster


class Schedule:
    """Picks faults and heals them; all choices follow from the seed."""

    def __init__(self, cluster, traffic, seed):
        self.cluster, self.traffic, self.random = cluster, traffic, random.Random(seed)

    def agents(self):
        return sorted(self.cluster.domain_of)

    def pause(self, name):
        self.cluster.processes[name].pause()
        if name in self.cluster.domain_of:
            self.traffic.host_down(name)
        return lambda: (self.cluster.processes[name].resume(), self.traffic.host_up(name))

    def kill(self, name):
        self.cluster.processes[name].kill()
        if name in self.cluster.domain_of:
            self.traffic.host_down(name)
        return lambda: (self.cluster.processes[name].start(), self.traffic.host_up(name))

    def partition(self, name, mode):
        self.cluster.partition(name, mode)

        def heal():
            for link in self.cluster.links(name):
                self.cluster.proxy.set(link, "refuse")
                self.cluster.proxy.set(link, "pass")
        return heal

    def inject_fault(self):
        r = self.random
        agent = r.choice(self.agents())
        control = "control-%d" % r.choice(sorted(self.cluster.control_links))
        entry = "entry-%d" % r.choice(sorted(self.cluster.entry_http))
        what = r.choice(["pause agent", "kill agent", "partition agent", "slow agent", "one way",
                         "pause control", "kill control", "partition control", "partition entry",
                         "kill entry", "domain"])
        if what == "domain":
            domain = r.choice(sorted(set(self.cluster.domain_of.values())))
            heals = [self.pause(n) for n, d in sorted(self.cluster.domain_of.items()) if d == domain]
            return what + " " + domain, lambda: [heal() for heal in heals]
        target = {"agent": agent, "control": control, "entry": entry}.get(what.split()[-1], agent)
        if what.startswith("pause"):
            return "%s %s" % (what, target), self.pause(target)
        if what.startswith("kill"):
            return "%s %s" % (what, target), self.kill(target)
        mode = {"slow agent": "slow", "one way": r.choice(["silent_in", "silent_out"])}.get(
            what, "silent")
        return "%s %s %s" % (what, target, mode), self.partition(target, mode)


def run(seed, seconds, say=print):
    say("seed %d, %.0f s" % (seed, seconds))
    with Cluster(domains=(5, 5), proxied=True, engine={"load-ms": 200, "token-ms": 3},
                 settings={"customers/probe/key_digest": "0" * 64}) as cluster:
        cluster.wait_serving(2)
        cluster.wait_models()
        traffic = Traffic(cluster, seed).start()
        schedule = Schedule(cluster, traffic, seed)
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            faults = {}
            for _ in range(schedule.random.choice([1, 1, 2])):
                what, heal = schedule.inject_fault()
                if what.split()[-1] not in " ".join(faults):
                    faults[what] = heal
                else:
                    heal()
            say("  %5.1f s left: %s" % (deadline - time.monotonic(), " + ".join(faults)))
            time.sleep(schedule.random.choice([0.5, 2, 4]))
            for heal in faults.values():
                heal()
            time.sleep(schedule.random.choice([0.2, 2]))
        cluster.heal()
        cluster.wait_serving(2, 60)
        cluster.wait_models(60)
        time.sleep(0.5)
        traffic.stop()
        found = check_records(cluster, traffic.records)
        finished = sum(1 for c in traffic.records.completions if c[5])
        say("  %d of %d completions complete, %d saves, %d settings probes, %d violations" % (
            finished, len(traffic.records.completions), len(traffic.records.saves),
            len(traffic.records.settings), len(found)))
        return found, finished


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--minutes", type=float, default=1)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    options = parser.parse_args()
    found, _ = run(options.seed, options.minutes * 60)
    for violation in found:
        print("VIOLATION (seed %d): %s" % (options.seed, violation))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
