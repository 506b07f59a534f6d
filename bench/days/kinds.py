"""Simulates a day for every kind of fault and planned event, and prints which rules were broken.

Each event is simulated alone, and together with a restart, a network partition and a change of
settings. Needs an external bench:

    bench/days/kinds.py BENCH SITE [--jobs N] [--only WORD] [--seed N]

BENCH is its program and SITE one of its deployment files. Exits with 1 if a rule was broken, a day
failed to run, a process exited by itself, or no day was simulated at all."""
import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile
import tomllib

NOT_OFFERED = "not offered by this deployment"
AT_S = 8.0  # start of an event, after the start of traffic: all groups serve, half a day is left

# Variants of each kind of event, as a day describes them. A day has two lists, `plan` and `faults`.
PLANNED = {
    "release": [{"share": 0.5, "x": 2, "gap_s": 1.0}],
    "scale_out": [{"share": 0.3, "gap_s": 2.0}],
    "scale_in": [{"share": 0.2}, {"share": 0.2, "how": "spot"},
                 {"how": "reclaim", "for_s": 6.0}],
    "roll_term": [{"share": 1.0, "x": 1, "gap_s": 1.5}, {"share": 1.0, "x": 1, "gap_s": 0.25},
                  {"share": 0.5, "gap_s": 1.2, "how": "busy"},
                  {"on": "core", "share": 1.0, "gap_s": 3.0}],
    "add_nodes": [{}],
    "hup": [{"share": 0.5, "gap_s": 2.0}],
    "config_change": [{"how": h} for h in ("route", "weights", "timeout", "tenant", "quota down",
                                           "idle")],
    "config_storm": [{"for_s": 4.0, "gap_s": 0.1}, {"for_s": 20.0, "gap_s": 0.1}],
    "config_race": [{"count": 3, "gap_s": 1.0}],
    "bad_config": [{"count": 3, "gap_s": 0.5, "how": h} for h in (
        "cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version",
        "same_version", "shared_key")],
    "big_config": [{"count": 350}],
    "revoke": [{"count": 3, "gap_s": 1.0}, {"count": 2, "gap_s": 1.0, "how": "last"}],
}
FAULTS = {
    "burst": [{"x": 2.0, "for_s": 5.0}],
    "hot_key": [{"share": 0.5, "for_s": 6.0}],
    "retry_abuse": [{"share": 0.4, "x": 3.0, "for_s": 6.0}],
    "give_up": [{"share": 0.4, "for_s": 6.0}],
    "srv_crash": [{"share": 0.2, "for_s": 4.0}, {"share": 0.2, "for_s": 4.0, "how": "dark"},
                  {"share": 0.2, "how": "gone"}, {"share": 0.3, "how": "dark gone joined"},
                  {"for_s": 5.0, "how": "domain dark"}, {"for_s": 4.0, "how": "all"}],
    "srv_slow": [{"share": 0.3, "x": 5.0, "for_s": 6.0}],
    "srv_grey": [{"share": 0.3, "for_s": 6.0, "how": h} for h in (
        "errors", "shed", "busy", "hang", "reset", "mute", "slow")],
    "srv_lying_health": [{"share": 0.3, "for_s": 6.0, "how": h} for h in (
        "errors", "hang", "reset", "bad")],
    "srv_flap": [{"share": 0.3, "for_s": 10.0, "gap_s": 1.5}],
    "srv_cut": [{"share": 0.3, "for_s": 6.0}, {"share": 0.3, "for_s": 8.0, "how": "fronts"},
                {"share": 0.3, "for_s": 6.0, "how": "one_way"},
                {"share": 0.3, "for_s": 6.0, "how": "some"}],
    "answer_lost": [{"x": 0.2, "for_s": 6.0}, {"x": 0.2, "for_s": 6.0, "how": "reset"}],
    "garble": [{"x": 0.1, "for_s": 6.0}] + [
        {"x": 0.1, "for_s": 6.0, "how": h} for h in ("extra", "unframed", "early", "extra late")],
    "replace_with_reuse": [{"share": 0.2}, {"share": 0.2, "how": "drain"},
                           {"share": 0.2, "how": "dark"}],
    "idle_race": [{"share": 1.0, "x": 200.0, "for_s": 10.0}],
    "node_kill": [{"share": 0.4, "for_s": 2.0}, {"share": 0.4, "for_s": 3.0, "how": "power"},
                  {"on": "core", "count": 1, "for_s": 3.0, "how": "leader race drain"},
                  {"on": "core", "count": 1, "for_s": 3.0, "how": "meet drain"},
                  {"on": "core", "count": 1, "how": "giver"}],
    "node_freeze": [{"share": 0.4, "for_s": 4.0},
                    {"on": "core", "count": 1, "for_s": 4.0, "how": "leader"}],
    "node_slow": [{"share": 0.4, "x": 6.0, "for_s": 6.0},
                  {"on": "core", "count": 1, "x": 8.0, "for_s": 6.0, "how": "leader"}],
    "herd_kill": [{"share": 0.8, "for_s": 2.0}, {"share": 0.8, "for_s": 2.0, "how": "power"},
                  {"on": "core"}, {"on": "core", "how": "off", "for_s": 1.5},
                  {"on": "core", "how": "taken all", "for_s": 1.5}],
    "replace_core": [{"x": 1.5}, {"x": 1.5, "how": "planned"}, {"x": 1.5, "how": "leader"},
                     {"x": 1.5, "how": "oldest"}],
    "seed_turnover": [{}],
    "after_ack_kill": [{"for_s": 3.0}, {"for_s": 3.0, "count": 2}, {"for_s": 3.0, "how": "timed"},
                       {"for_s": 3.0, "how": "kill"}],
    "after_ack_wipe": [{"for_s": 3.0}, {"for_s": 3.0, "count": 2},
                       {"for_s": 3.0, "how": "oldest"}],
    "disk_slow": [{"count": 1, "x": 40.0, "for_s": 6.0, "how": "leader"}],
    "disk_full": [{"count": 1, "for_s": 5.0, "how": "leader"}, {"count": 2, "for_s": 5.0}],
    "disk_stall": [{"count": 1, "for_s": 4.0, "how": "leader"}],
    "clock_step": [{"share": 1.0, "x": 3000.0, "for_s": 5.0, "how": "back"},
                   {"share": 0.4, "x": 3000.0, "for_s": 5.0, "how": "ahead"}],
    "core_cut": [{"count": 1, "for_s": 5.0, "how": h} for h in (
        "leader race", "behind", "split race hard", "all", "near", "one_way", "lure drain",
        "relieve", "both", "seeds")],
    "node_cut": [{"share": 0.4, "for_s": 5.0}, {"share": 0.4, "for_s": 6.0, "how": "all"},
                 {"share": 0.4, "for_s": 5.0, "how": "servers"}],
    "lossy": [{"x": 0.05, "for_s": 6.0}],
    "ack_lost": [{"x": 0.7, "for_s": 8.0}],
    "applied_late": [{"x": 0.6, "for_s": 8.0}],
    "reset_conns": [{"share": 0.5, "x": 0.7}, {"on": "core", "share": 0.5, "x": 0.7}],
}
# Events that accompany each event of the tables above, with the list of the day they belong to.
COMPANIONS = {
    "alone": [],
    "restart": [("faults", {"at": AT_S + 0.3, "kind": "node_kill", "on": "core", "count": 1,
                            "for_s": 2.0, "how": "leader"})],
    "cut": [("faults", {"at": AT_S + 0.5, "kind": "core_cut", "count": 1, "for_s": 4.0,
                        "how": "leader"})],
    "change": [("plan", {"at": AT_S + 0.2, "kind": "config_change", "how": "route"}),
               ("plan", {"at": AT_S + 2.2, "kind": "config_change", "how": "weights"})],
}


def toml(value):
    """A value as TOML. Numbers, strings and booleans are written as in JSON."""
    if isinstance(value, dict):
        return "{ %s }" % ", ".join("%s = %s" % (k, toml(v)) for k, v in value.items())
    if isinstance(value, list):
        return "[ %s ]" % ", ".join(toml(v) for v in value)
    return json.dumps(value)


def engine_service(site):
    """The service whose endpoints run models, if there is one."""
    with open(site, "rb") as file:
        services = tomllib.load(file)["services"]
    return next((s["name"] for s in services if "model" in s), None)


def days(seed, service):
    """Yields the label, the companion and the TOML text of every day."""
    for group, table in (("plan", PLANNED), ("faults", FAULTS)):
        for kind, variants in table.items():
            for variant in variants:
                needs_groups = any(w in variant.get("how", "") for w in ("joined", "domain"))
                if needs_groups and service:
                    variant = {**variant, "service": service}
                for companion, companion_events in COMPANIONS.items():
                    lists = {"plan": [], "faults": []}
                    lists[group].append({"at": AT_S, "kind": kind, **variant})
                    for companion_list, companion_event in companion_events:
                        lists[companion_list].append(companion_event)
                    label = " ".join([kind] + [str(v) for k, v in variant.items()
                                               if k in ("how", "on", "count")])
                    text = "name = %s\nseed = %d\nplan = %s\nfaults = %s\n" % (
                        json.dumps(label + " + " + companion), seed, toml(lists["plan"]),
                        toml(lists["faults"]))
                    yield label, companion, text


def simulate_day(bench, site, directory, number, text):
    """Simulates one day. Returns the broken rules, an empty string if there are none, and G."""
    day, report = (os.path.join(directory, "%d.%s" % (number, extension))
                   for extension in ("toml", "json"))
    with open(day, "w") as out:
        out.write(text)
    done = subprocess.run([bench, "run", site, day, "--report", report, "--why",
                           "a day for each kind of trouble"], capture_output=True, text=True)
    if "is not open" in done.stderr + done.stdout:
        return NOT_OFFERED, None
    if not os.path.exists(report):
        return "not simulated: " + (done.stderr + done.stdout).strip().splitlines()[-1][:100], None
    with open(report) as file:
        result = json.load(file)
    violations = ["%s %s" % item for item in result["breaks"].items()]
    violations += [str(result[k]) for k in ("fault", "exits_n") if result[k]]
    return "; ".join(violations), result["G"]


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    chosen = [d for d in days(options.seed, engine_service(options.site))
              if options.only in d[0]]
    subprocess.run([options.bench, "build"], check=True, stdout=subprocess.DEVNULL)
    with tempfile.TemporaryDirectory() as directory, \
            concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda n: simulate_day(options.bench, options.site, directory, n,
                                               chosen[n][2]), range(len(chosen))))
    for (label, companion, _), (violations, score) in zip(chosen, results):
        print("%-34s %-8s %s %s" % (label, companion, "  -  " if score is None else "%.3f" % score,
                                    violations or "no rule broken"))
    return verdict([violations for violations, _ in results])


def verdict(outcomes):
    """The exit code for the outcomes of all days. Days that the deployment does not offer count
    neither as passed nor as failed; a run without any simulated day is no success."""
    simulated = [violations for violations in outcomes if violations != NOT_OFFERED]
    failed = sum(1 for violations in simulated if violations)
    print("%d days, %d of them not offered by this deployment, %d failed" % (
        len(outcomes), len(outcomes) - len(simulated), failed))
    return 1 if failed or not simulated else 0


if __name__ == "__main__":
    sys.exit(main())
