"""Plays a day of our own for every kind of trouble, and prints which promises were broken.

Each trouble comes alone, and beside a restart, a cut and a change of settings. Needs the users'
bench:

    bench/days/kinds.py BENCH SITE [--jobs N] [--only WORD] [--seed N]

BENCH is their program and SITE one of their deployment files. Exits with 1 where a rule was broken,
a day could not be played or a process ended by itself, and where no day was played at all."""
import argparse
import concurrent.futures
import json
import os
import subprocess
import sys
import tempfile
import tomllib

NOT_OFFERED = "not a trouble of this deployment"
AT_S = 8.0  # seconds from the start of traffic: all groups serve, and half of the day is left

# Each trouble as it is written in a day; the list it belongs to follows its name.
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
# What comes beside each trouble, with the list that it belongs to.
BESIDE = {
    "alone": [],
    "restart": [("faults", {"at": AT_S + 0.3, "kind": "node_kill", "on": "core", "count": 1,
                            "for_s": 2.0, "how": "leader"})],
    "cut": [("faults", {"at": AT_S + 0.5, "kind": "core_cut", "count": 1, "for_s": 4.0,
                        "how": "leader"})],
    "change": [("plan", {"at": AT_S + 0.2, "kind": "config_change", "how": "route"}),
               ("plan", {"at": AT_S + 2.2, "kind": "config_change", "how": "weights"})],
}


def toml(value):
    """A value of a day as TOML; JSON's numbers, strings and booleans are the same there."""
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
    """Every day: its name and its text."""
    for group, table in (("plan", PLANNED), ("faults", FAULTS)):
        for kind, variants in table.items():
            for variant in variants:
                of_groups = any(w in variant.get("how", "") for w in ("joined", "domain"))
                if of_groups and service:
                    variant = {**variant, "service": service}
                for beside, others in BESIDE.items():
                    lists = {"plan": [], "faults": []}
                    lists[group].append({"at": AT_S, "kind": kind, **variant})
                    for other_group, other in others:
                        lists[other_group].append(other)
                    label = " ".join([kind] + [str(v) for k, v in variant.items()
                                               if k in ("how", "on", "count")])
                    text = "name = %s\nseed = %d\nplan = %s\nfaults = %s\n" % (
                        json.dumps(label + " + " + beside), seed, toml(lists["plan"]),
                        toml(lists["faults"]))
                    yield label, beside, text


def play(bench, site, folder, number, text):
    """One day. Returns what was broken, empty where nothing was, and its worth."""
    day, report = (os.path.join(folder, "%d.%s" % (number, end)) for end in ("toml", "json"))
    with open(day, "w") as out:
        out.write(text)
    done = subprocess.run([bench, "run", site, day, "--report", report, "--why",
                           "a day for each kind of trouble"], capture_output=True, text=True)
    if "is not open" in done.stderr + done.stdout:
        return NOT_OFFERED, None
    if not os.path.exists(report):
        return "not played: " + (done.stderr + done.stdout).strip().splitlines()[-1][:100], None
    with open(report) as file:
        result = json.load(file)
    broken = ["%s %s" % item for item in result["breaks"].items()]
    broken += [str(result[k]) for k in ("fault", "exits_n") if result[k]]
    return "; ".join(broken), result["G"]


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
    with tempfile.TemporaryDirectory() as folder, \
            concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda n: play(options.bench, options.site, folder, n,
                                               chosen[n][2]), range(len(chosen))))
    for (label, beside, _), (broken, worth) in zip(chosen, results):
        print("%-34s %-8s %s %s" % (label, beside, "  -  " if worth is None else "%.3f" % worth,
                                    broken or "kept"))
    return verdict([broken for broken, _ in results])


def verdict(outcomes):
    """The exit code, from what was broken on each day. A run in which nothing was played shows
    nothing, so it is no success."""
    played = [broken for broken in outcomes if broken != NOT_OFFERED]
    red = sum(1 for broken in played if broken)
    print("%d days, %d of them not offered here, %d red" % (
        len(outcomes), len(outcomes) - len(played), red))
    return 1 if red or not played else 0


if __name__ == "__main__":
    sys.exit(main())
