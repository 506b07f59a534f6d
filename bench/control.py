"""Benches of the control hosts: time until settings are committed and in force, rate of claimed
calls, failover, and placement policies against their baselines."""
import concurrent.futures
import sys
import time

from common import Cluster, WeightStore, quantile, table, wait_for

# Weights of (group downtime, stranded accelerators). Zagreb puts most weight on stranded
# accelerators, Nairobi on group downtime.
WEIGHTS = {"Zagreb": (1.0, 1.0), "Nairobi": (10.0, 0.1)}


def settings_bench():
    with Cluster(entries=4, domains=(4,) * 6, services=0, pooled=True) as c:
        c.wait_serving(6)
        committed, in_force = [], []
        for n in range(300):
            answer = c.set("once/answer_bytes", 10000 + n)
            committed.append(answer["committed_ms"])
            in_force.append(answer["in_force_ms"])
        rows = [["committed ms", quantile(committed, .5), quantile(committed, .99), max(committed)],
                ["in force ms", quantile(in_force, .5), quantile(in_force, .99), max(in_force)]]
        table("300 changes of settings, 3 control, 4 entry, 24 agents", ["what", "p50", "p99", "max"],
              rows)
        # With one entry host paused, a change waits until the lease of that host expires.
        c.processes["entry-4"].pause()
        paused_ms = [c.set("once/answer_bytes", 20000 + n)["in_force_ms"] for n in range(10)]
        c.processes["entry-4"].resume()
        table("the same with one entry host paused", ["p50", "max"],
              [[quantile(paused_ms, .5), max(paused_ms)]])


def claims_bench():
    with Cluster(domains=(4,), services=3, threads=2) as c:
        c.wait_serving(1)
        c.wait_models()
        from common import load
        rows = []
        for rate in (200, 500, 1000, 2000):
            out = load(c, path="/services/quotes/save", rate=rate, seconds=4, threads=2,
                       idempotency="r%d" % rate, stream=0)
            rows.append([rate, out["good"] / out["seconds"], out["whole_ms"]["p50"],
                         out["whole_ms"]["p99"], str(out["statuses"])])
        table("calls claimed in the replicated log (two commits each)",
              ["sent/s", "completed/s", "p50 ms", "p99 ms", "statuses"], rows)


def failover_bench():
    rows = []
    for how in ("killed", "paused", "partitioned"):
        times = []
        for _ in range(5):
            with Cluster(entries=1, domains=(4,), services=0, proxied=True) as c:
                c.wait_serving(1)
                node = wait_for(c.leader, "a leader")
                others = [n for n in c.control_http if n != node]
                began = time.monotonic()
                if how == "killed":
                    c.processes["control-%d" % node].kill()
                elif how == "paused":
                    c.processes["control-%d" % node].pause()
                else:
                    c.partition("control-%d" % node)
                wait_for(lambda: any("result" in c.rpc_at(n, "status", timeout=1) for n in others),
                         "another leader", every=0.01)
                times.append(time.monotonic() - began)
        rows.append([how, quantile(times, .5), max(times)])
    table("failover of the leading control host, s (5 runs each)", ["leader was", "median", "max"],
          rows)


# ---- placement

def names_of(c, domain):
    return sorted(n for n, d in c.domain_of.items() if d == domain)


def member_killed(c, group):
    victim = group["members"][1]
    c.processes[victim].kill()
    time.sleep(14)
    c.processes[victim].start()


def paused_and_resumed(c, group):
    victim = group["members"][1]
    c.processes[victim].pause()
    time.sleep(5)
    c.processes[victim].resume()


def paused_without_spare(c, group):
    """Two groups lose one member each at the same time, and no domain has a spare host."""
    victims = [g["members"][1] for g in c.serving()[:2]]
    for victim in victims:
        c.processes[victim].pause()
    time.sleep(5)
    for victim in victims:
        c.processes[victim].resume()


def domain_unreachable(c, group):
    domain_hosts = names_of(c, group["domain"])
    for name in domain_hosts:
        c.processes[name].pause()
    time.sleep(12)
    for name in domain_hosts:
        c.processes[name].resume()


def second_lost_after_repair(c, group):
    first, second = group["members"][1], group["members"][2]
    c.processes[first].kill()
    time.sleep(8)
    c.processes[second].kill()
    time.sleep(8)
    c.processes[first].start()
    c.processes[second].start()


def flapping(c, group):
    victim = group["members"][1]
    for _ in range(3):
        c.processes[victim].kill()
        time.sleep(3)
        c.processes[victim].start()
        time.sleep(3)


SCRIPTS = [member_killed, paused_and_resumed, paused_without_spare, domain_unreachable,
           second_lost_after_repair, flapping]
TAIL_S = 22  # seconds after a script in which its repairs still count


def placement_run(policy, weights, script, load_seconds):
    store = WeightStore(0.05)  # fast while the groups first form, which is not measured
    downtime, stranded = weights
    settings = {"placement/policy": policy, "placement/group_downtime_weight": downtime,
                "placement/stranded_weight": stranded, "models/archive/replicas": 3,
                "models/archive/weight_mb": 1000 * load_seconds,
                "weight_store/mb_per_second": 1000, "placement/expected_return_ms": 5000,
                "placement/loss_horizon_ms": 60000}
    domains = (4, 4, 4) if script is paused_without_spare else (5, 4, 5)
    with Cluster(entries=1, domains=domains, services=0, pooled=True, settings=settings,
                 engine={"store": store.url}) as c:
        c.wait_serving(3, 90)
        time.sleep(1)
        store.seconds_each = load_seconds
        before = c.rpc("status")
        began = time.monotonic()
        script(c, [g for g in c.serving() if g["domain"] == "fabric-a"][0])
        time.sleep(max(0, 16 + TAIL_S - (time.monotonic() - began)))
        after = c.rpc("status")
        return (after["group_downtime_seconds"] - before["group_downtime_seconds"],
                after["stranded_accelerator_seconds"] - before["stranded_accelerator_seconds"])


def placement_bench(load_seconds=3.0):
    policies = [("priced", "Zagreb"), ("priced", "Nairobi"), ("rebuild", None), ("wait", None)]
    totals = {}
    rows = []
    for script in SCRIPTS:
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            jobs = {(p, u): pool.submit(placement_run, p, WEIGHTS[u or "Zagreb"], script, load_seconds)
                    for p, u in policies}
        for user, (wd, ws) in WEIGHTS.items():
            cost = {}
            for (policy, whose), job in jobs.items():
                if whose in (None, user):
                    down, idle = job.result()
                    cost[policy] = wd * down + ws * idle
                    rows.append([script.__name__, user, policy, down, idle, cost[policy]])
            for policy, value in cost.items():
                totals.setdefault((user, policy), 0)
                totals[user, policy] += value
    table("placement: group seconds down, accelerator seconds stranded, weighted cost",
          ["script", "weights of", "policy", "down s", "stranded s", "cost"], rows)
    table("placement over all scripts", ["weights of", "policy", "cost", "ratio to priced"],
          [[user, policy, value, value / totals[user, "priced"]]
           for (user, policy), value in sorted(totals.items())])


def main():
    parts = {"settings": settings_bench, "claims": claims_bench, "failover": failover_bench,
             "placement": placement_bench}
    for name in sys.argv[1:] or parts:
        parts[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
