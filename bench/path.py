"""Benches of the request path: added latency, throughput per core, and each policy against its
baseline."""
import concurrent.futures
import json
import subprocess
import sys
import time

from common import BUILD, Cluster, http, load, quantile, table, usage, wait_for


def started(c):
    return sum(len(json.loads(http("GET", "http://%s/executions" % w)[2]))
               for w in c.engines.values())


def hits(c):
    total = {"prefix_hits": 0, "prefix_misses": 0}
    for where in c.engines.values():
        record = json.loads(http("GET", "http://%s/record" % where)[2])
        for name in total:
            total[name] += record.get(name, 0)
    return total


def latency_bench():
    """Latency added to that of direct calls to a stand-in engine; medians of three runs."""
    rows = []
    with Cluster(entries=1, domains=(4,), services=0, engine={"token-ms": 10, "prefill-ms": 5},
                 threads=2, settings={"limits/enabled": False, "routing/group_slots": 1000}) as c:
        c.wait_serving(1)
        c.wait_models()
        lead = c.serving()[0]["members"][0]
        for rate in (20, 60, 120):
            direct, through = [], []
            for _ in range(3):
                # The direct calls use an engine of their own, which checks no fence.
                through.append(load(c, rate=rate, seconds=4, tokens=40))
                direct.append(direct_load(c, lead, rate))
            def pick(runs, what, q):
                return quantile([r[what][q] for r in runs], .5)
            for what in ("first_ms", "worst_gap_ms"):
                for q in ("p50", "p99"):
                    a, b = pick(direct, what, q), pick(through, what, q)
                    rows.append([rate, what, q, a, b, b - a])
    table("latency added, 40 tokens a request", ["requests/s", "what", "", "direct", "through",
                                                 "added ms"], rows)


def direct_load(c, lead, rate):
    # Direct calls carry no fence: they need a second stand-in, as fast, that checks none.
    if "direct" not in c.engines:
        c.fence = False
        c.start_engine("direct")
        wait_for(lambda: http("POST", "http://%s/orders" % c.engines["direct"],
                              {"order": "load", "fence": 0, "model": "archive", "version": "1"})[0]
                 == 200, "loaded")
        time.sleep(0.5)
    return load(c, urls="http://" + c.engines["direct"], rate=rate, seconds=4, tokens=40)


def throughput_bench():
    rows = []
    with Cluster(entries=1, domains=(4,) * 4, services=4, threads=4, pooled=False,
                 engine={"token-ms": 0, "prefill-ms": 0},
                 settings={"limits/enabled": False, "services/quotes/repeatable": True,
                           "routing/group_slots": 2000, "services/quotes/concurrency": 2000}) as c:
        c.wait_serving(4)
        c.wait_models()
        entry = c.processes["entry-1"].pid
        agents = [c.processes[n].pid for n in sorted(c.services)]
        for rate in (1000, 2000, 4000, 6000, 8000):
            before = usage(entry)[0], sum(usage(p)[0] for p in agents)
            out = load(c, path="/services/quotes/x", rate=rate, seconds=4, threads=3, stream=0)
            cpu = usage(entry)[0] - before[0], sum(usage(p)[0] for p in agents) - before[1]
            rows.append(["short calls/s", rate, out["good"] / out["seconds"], out["whole_ms"]["p50"],
                         out["whole_ms"]["p99"], out["good"] / max(cpu[0], .01),
                         out["good"] / max(cpu[1], .01)])
        leads = [c.processes[g["members"][0]].pid for g in c.serving()]
        for rate in (50, 100, 200):
            before = usage(entry)[0], sum(usage(p)[0] for p in leads)
            out = load(c, rate=rate, seconds=4, threads=3, tokens=200)
            cpu = usage(entry)[0] - before[0], sum(usage(p)[0] for p in leads) - before[1]
            tokens = out["good"] * 200
            rows.append(["tokens/s (200 a request)", rate * 200, tokens / out["seconds"],
                         out["first_ms"]["p50"], out["first_ms"]["p99"], tokens / max(cpu[0], .01),
                         tokens / max(cpu[1], .01)])
    table("throughput, 1 entry process of 4 threads (load, stand-ins and system share 8 cores)",
          ["what", "sent", "completed", "p50 ms", "p99 ms", "per entry core", "per agent core"],
          rows)


def routing_bench():
    """Each routing policy against its baselines, on one cluster; medians of three runs."""
    rows = []
    with Cluster(entries=2, domains=(4,) * 6, services=0, pooled=True,
                 engine={"token-ms": 4, "prefill-ms": 60, "cache": 8},
                 settings={"limits/enabled": False, "routing/group_slots": 8}) as c:
        c.wait_serving(6)
        c.wait_models()
        policies = [("two choices + prefix", {"routing/policy": "two_choices",
                                              "routing/prefix_affinity": True}),
                    ("two choices", {"routing/policy": "two_choices",
                                     "routing/prefix_affinity": False}),
                    ("two choices, no ejection", {"routing/ejection": False}),
                    ("least in flight", {"routing/policy": "least_in_flight",
                                         "routing/ejection": True}),
                    ("round robin", {"routing/policy": "round_robin"})]
        for slow in (False, True):
            if slow:  # one group becomes ten times slower
                lead = c.serving()[0]["members"][0]
                http("POST", "http://%s/control" % c.engines[lead],
                     {"token_ms": 40, "prefill_ms": 600})
            results = {name: [] for name, _ in policies}
            for _ in range(3):
                for name, settings in policies:
                    wait_for(lambda: c.set_many(settings), "settings")
                    before = hits(c)
                    out = load(c, rate=90, seconds=4, tokens=30, prefixes=32)
                    after = hits(c)
                    hit = after["prefix_hits"] - before["prefix_hits"]
                    miss = after["prefix_misses"] - before["prefix_misses"]
                    results[name].append((out["first_ms"]["p50"], out["first_ms"]["p95"],
                                          out["whole_ms"]["p95"], hit / max(1, hit + miss)))
            for name, runs in results.items():
                rows.append(["one slow group" if slow else "all alike", name] +
                            [quantile([r[i] for r in runs], .5) for i in range(4)])
    table("routing, 32 shared prefixes, cache of 8 a group", ["groups", "policy", "first p50 ms",
                                                              "first p95 ms", "whole p95 ms",
                                                              "prefix hits"], rows)


def limits_bench():
    """Service of a small customer while a large one sends ten times its share."""
    rows = []
    with Cluster(entries=2, domains=(4, 4), services=0, pooled=True,
                 engine={"token-ms": 4, "prefill-ms": 10},
                 settings={"routing/group_slots": 4,
                           "customers/archive-desk/requests_per_second": 30}) as c:
        c.wait_serving(2)
        c.wait_models()
        for name, settings, big in [
                ("no contention", {"limits/enabled": True}, 0),
                ("limits on", {"limits/enabled": True}, 300),
                ("limits off, fair queue", {"limits/enabled": False}, 300)]:
            wait_for(lambda: c.set_many(settings), "settings")
            with concurrent.futures.ThreadPoolExecutor(2) as pool:
                large = pool.submit(load, c, key="key-desk", rate=big, seconds=6, tokens=20,
                                   prompt="big", deadline_ms=3000) if big else None
                time.sleep(1)
                small = load(c, rate=8, seconds=4, tokens=20, prompt="small")
                large = large.result() if large else {"good": 0, "sent": 0}
            rows.append([name, small["good"], small["sent"], small["first_ms"]["p95"],
                         small["whole_ms"]["p95"], large["good"], large["sent"]])
    table("a large customer at 10x its share", ["", "small completed", "of", "small first p95 ms",
                                               "small whole p95 ms", "large completed", "of"], rows)


def overload_bench():
    """Goodput at 0.5 to 3 times the capacity, with and without early refusal."""
    rows = []
    tokens, slots, groups, token_ms = 20, 4, 2, 4
    capacity = groups * slots / ((tokens * token_ms + 10) / 1000)
    with Cluster(entries=2, domains=(4, 4), services=0, pooled=True,
                 engine={"token-ms": token_ms, "prefill-ms": 10},
                 settings={"limits/enabled": False, "routing/group_slots": slots,
                           "models/calc/replicas": 0, "routing/queue_length": 64}) as c:
        c.wait_serving(2)
        c.wait_models()
        for early in (True, False):
            wait_for(lambda: c.set_many({"limits/early_refusal": early}), "settings")
            for factor in (0.5, 1, 2, 3):
                out = load(c, rate=capacity * factor, seconds=6, tokens=tokens, deadline_ms=1000)
                rows.append(["early refusal" if early else "no early refusal", factor,
                             out["good"] / 6, out["good"] / 6 / capacity, out["first_ms"]["p95"],
                             str(out["statuses"])])
    table("goodput against %.0f requests/s of capacity, deadline 1 s" % capacity,
          ["", "load", "completed/s", "of capacity", "first p95 ms", "statuses"], rows)


def storm_bench():
    """Retries while a whole fabric domain is paused, and when all entry hosts restart."""
    rows = []
    for budget in (0.1, 10):
        with Cluster(entries=2, domains=(4, 4, 4), services=0, threads=1,
                     engine={"token-ms": 10, "prefill-ms": 10, "load-ms": 500},
                     settings={"limits/enabled": False, "retries/budget": budget,
                               "retries/attempts": 3 if budget < 1 else 10}) as c:
            c.wait_serving(3)
            c.wait_models()
            before = started(c)
            with concurrent.futures.ThreadPoolExecutor(1) as pool:
                job = pool.submit(load, c, rate=60, seconds=14, tokens=40, threads=1)
                time.sleep(3)
                domain_hosts = [n for n, d in c.domain_of.items() if d == "fabric-a"]
                for name in domain_hosts:
                    c.processes[name].pause()
                    c.processes["engine-" + name].pause()
                time.sleep(4)
                for name in domain_hosts:
                    c.processes["engine-" + name].resume()
                    c.processes[name].resume()
                out = job.result()
            rows.append(["domain paused for 4 s", budget, out["good"], out["sent"],
                         (started(c) - before) / out["sent"], str(out["statuses"])])
            before = started(c)
            for n in (1, 2):
                c.processes["entry-%d" % n].kill()
                c.processes["entry-%d" % n].start()
            began = time.monotonic()
            c.wait_models()
            rows.append(["all entry hosts restart", budget, "-", "-", "-",
                         "served again after %.2f s" % (time.monotonic() - began)])
    table("retries", ["fault", "budget", "completed", "of", "attempts a request", "statuses"], rows)


def streams_bench(count=5000):
    """Memory of an entry process with thousands of open streams."""
    rows = []
    with Cluster(entries=1, domains=(4,) * 4, services=0, threads=4, pooled=False,
                 engine={"token-ms": 400, "prefill-ms": 5},
                 settings={"limits/enabled": False, "routing/group_slots": 5000}) as c:
        c.wait_serving(4)
        c.wait_models()
        entry = c.processes["entry-1"].pid
        rows.append([0, usage(entry)[1]])
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            job = pool.submit(load, c, rate=count / 5, seconds=5, tokens=40, threads=2)
            time.sleep(5.5)
            rows.append([count, usage(entry)[1]])
            time.sleep(6)
            rows.append([count, usage(entry)[1]])
            out = job.result()
        rows.append([0, usage(entry)[1]])
        rows.append(["completed: %d of %d" % (out["good"], out["sent"]),
                     out["worst_gap_ms"]["p95"]])
    table("entry process with open streams (last row: worst gap p95 ms, 400 ms a token)",
          ["streams", "resident MB"], rows)


def main():
    parts = {"latency": latency_bench, "throughput": throughput_bench, "routing": routing_bench,
             "limits": limits_bench, "overload": overload_bench, "storm": storm_bench,
             "streams": streams_bench}
    for name in sys.argv[1:] or parts:
        parts[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
