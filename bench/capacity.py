"""Measures how each role's processor time, memory and control traffic grow with the host count."""
import sys
import time

from common import Cluster, fit, link_bytes, table, usage, wait_for

GROUP_SIZE = 4
MEASURE_S = 10


def measure(c, ticket, processes):
    """For each process: (processor ms per second, resident MB, bytes in per s, bytes out per s)."""
    def snapshot():
        return {name: usage(c.processes[name].pid) + link_bytes(c, where, ticket)
                for name, where in processes.items()}
    before, began = snapshot(), time.monotonic()
    time.sleep(MEASURE_S)
    after, seconds = snapshot(), time.monotonic() - began
    return {name: ((after[name][0] - before[name][0]) * 1000 / seconds, after[name][1],
                   (after[name][2] - before[name][2]) / seconds,
                   (after[name][3] - before[name][3]) / seconds) for name in processes}


def one_size(groups, changes_per_second=0):
    settings = {"placement/loads_at_once": 16, "models/archive/replicas": groups}
    with Cluster(entries=4, domains=(GROUP_SIZE,) * groups, services=0, pooled=True,
                 settings=settings) as c:
        c.wait_serving(groups, 120)
        time.sleep(2)
        ticket = c.rpc("observe.ticket", {"valid_ms": 600000})["ticket"]
        leader = c.leader()
        group = c.serving()[0]
        lead, member = group["members"][0], group["members"][1]
        roles = {"control-%d" % leader: c.control_http[leader],
                 "control-%d" % (leader % 3 + 1): c.control_http[leader % 3 + 1],
                 "entry-1": c.entry_metrics[1], lead: c.agent_addresses[lead][2],
                 member: c.agent_addresses[member][2]}
        found = measure(c, ticket, roles)
        names = ["control, leading", "control, following", "entry", "agent, lead", "agent, member"]
        out = dict(zip(names, found.values()))
        cpu = usage(c.processes["control-%d" % leader].pid)[0]
        entry_cpu = usage(c.processes["entry-1"].pid)[0]
        began = time.monotonic()
        for n in range(60):
            c.set("once/answer_bytes", 1000 + n)
        spent = time.monotonic() - began
        idle = out["control, leading"][0] / 1000 * spent
        entry_idle = out["entry"][0] / 1000 * spent
        out["change"] = (
            (usage(c.processes["control-%d" % leader].pid)[0] - cpu - idle) / 60 * 1000,
            (usage(c.processes["entry-1"].pid)[0] - entry_cpu - entry_idle) / 60 * 1000)
        # A seventh of the agents restarts at the same time, as after the outage of a zone.
        began = time.monotonic()
        for name in sorted(c.domain_of)[:GROUP_SIZE * max(1, groups // 7)]:
            c.processes[name].kill()
            c.processes[name].start()
        wait_for(lambda: len(c.serving()) < groups, "groups are lost", 30, 0.01)
        wait_for(lambda: len(c.serving()) >= groups, "all groups serve again", 120)
        out["zone restart"] = time.monotonic() - began
        return out


def main():
    sizes = [6, 12, 24, 48] if len(sys.argv) < 2 else [int(a) for a in sys.argv[1:]]
    runs = {size: one_size(size) for size in sizes}
    hosts = [size * GROUP_SIZE for size in sizes]
    units = ["processor ms/s", "resident MB", "bytes in/s", "bytes out/s"]
    rows = []
    for role in [r for r in runs[sizes[0]] if r not in ("zone restart", "change")]:
        for i, unit in enumerate(units):
            ys = [runs[size][role][i] for size in sizes]
            base, slope, residual = fit(hosts, ys)
            rows.append([role, unit] + ys + [base, slope, residual, base + 930 * slope])
    table("slopes over hosts (%s hosts, 4 entry hosts, %d s each)" % (hosts, MEASURE_S),
          ["role", "unit"] + ["%d hosts" % h for h in hosts] +
          ["base", "per host", "largest residual", "at 930 hosts"], rows)
    table("one change of settings: processor ms", ["hosts", "leading control", "entry"],
          [[h, runs[s]["change"][0], runs[s]["change"][1]] for h, s in zip(hosts, sizes)])
    table("a seventh of the hosts restarts at the same time",
          ["hosts", "all groups serve again after s"],
          [[h, runs[s]["zone restart"]] for h, s in zip(hosts, sizes)])

    return 0


if __name__ == "__main__":
    sys.exit(main())
