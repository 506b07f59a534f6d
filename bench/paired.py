"""Compares two checkouts by simulated days of an external bench, in pairs of equal day and seed:

    ./dev bench paired BENCH BEFORE AFTER SITE... --seeds 101-108 [--days trouble-1,scale-2]
        [--cpu] [--jobs N] [--keep FOLDER] [--plot FILE]

BEFORE and AFTER are checkouts. For every deployment, prints the mean difference of each figure with
its 95 % bootstrap interval, and the outcomes of each class of requests. Without --cpu no processor
time is charged, and a simulation mostly gives the same result again. Reports are kept in FOLDER, in
a directory for each version of the sources. Exits with 1 if a simulation broke a rule or failed to
run."""
import argparse
import os
import random
import re
import statistics
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "days"))
import plays

RESAMPLES = 2000
TAIL_SHARE = 0.025  # share of the resamples outside the interval on each side

# Figures that the report gives only as text: seconds in which groups were stalled, and host-seconds
# without a group.
STALLED = re.compile(r"groups stood still for ([\d.]+) s")
STRANDED = re.compile(r"([\d.]+) server-seconds served nobody")


def hint_value(report, pattern):
    found = pattern.search("\n".join(report["hints"]))
    return float(found.group(1)) if found else 0.0


def part(report, name):
    return next((p[2] for p in report["parts"] if p[0] == name), 0.0)


def price(report, name=None):
    return sum(p[2] for p in report["prices"] if name in (None, p[0]))


FIGURES = {
    "worth": lambda r: r["G"],
    "whole day": lambda r: part(r, "whole day"),
    "worst windows": lambda r: part(r, "worst windows"),
    "worst class": lambda r: part(r, "worst class"),
    "prices": price,
    "refused again": lambda r: price(r, "worth refused again"),
    "refused": lambda r: r["refused"],
    "group downtime, s": lambda r: hint_value(r, STALLED),
    "stranded, host s": lambda r: hint_value(r, STRANDED),
}


def interval(differences):
    """Mean and its bootstrap interval. A fixed seed gives equal results for equal input."""
    draw = random.Random(1)
    means = sorted(statistics.fmean(draw.choices(differences, k=len(differences)))
                   for _ in range(RESAMPLES))
    return (statistics.fmean(differences), means[int(TAIL_SHARE * RESAMPLES)],
            means[int((1 - TAIL_SHARE) * RESAMPLES) - 1])


def class_shares(reports):
    shares = {}
    for report in reports:
        for row in report["classes"]:
            owed = row["n"] - row["not_owed"]
            total = shares.setdefault(row["name"], [0, 0, 0, 0, 0])
            for i, count in enumerate((owed, row["in_aim"], row["late"], row["refused"],
                                       row["failed"])):
                total[i] += count
    return {name: [t[0]] + [t[i] / max(1, t[0]) for i in range(1, 5)]
            for name, t in shares.items()}


def show(deployment, pairs):
    print("\n%s: %d pairs" % (deployment, len(pairs)))
    print("%-18s %8s %8s %8s  %s" % ("", "before", "after", "change", "interval"))
    for name, figure in FIGURES.items():
        before, after = [[figure(p[i]) for p in pairs] for i in (0, 1)]
        mean, low, high = interval([b - a for a, b in zip(before, after)])
        print("%-18s %8.3f %8.3f %+8.3f  %+.3f to %+.3f" % (
            name, statistics.fmean(before), statistics.fmean(after), mean, low, high))
    before, after = [class_shares([p[i] for p in pairs]) for i in (0, 1)]
    print("%-24s %7s  in aim, late, refused, failed (shares of those owed; before > after)"
          % ("class", "owed"))
    for name, row in before.items():
        print("%-24s %7d  %s" % (name, row[0], "  ".join(
            "%.3f > %.3f" % (row[i], after[name][i]) for i in range(1, 5))))


def plot(path, by_deployment):
    import matplotlib
    matplotlib.use("svg")
    from matplotlib import pyplot
    figure, axes = pyplot.subplots(figsize=(8, 1.5 + 0.6 * len(by_deployment)))
    for row, (deployment, pairs) in enumerate(by_deployment.items()):
        differences = [b["G"] - a["G"] for a, b in pairs]
        mean, low, high = interval(differences)
        axes.plot(differences, [row] * len(differences), "|", color="0.7")
        axes.plot([low, high], [row, row], color="k")
        axes.plot([mean], [row], "ok")
    axes.set_yticks(range(len(by_deployment)), list(by_deployment))
    axes.axvline(0, color="0.5", linewidth=0.5)
    axes.set_xlabel("change of worth, pair by pair; mean and its interval of 95 in 100")
    figure.tight_layout()
    figure.savefig(path)


def count_broken(reports):
    count = 0
    for key, report in reports.items():
        if report is None or report["breaks"] or report["fault"]:
            count += 1
            print("BROKEN", *key, report and (report["breaks"], report["fault"]))
    return count


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("before")
    parser.add_argument("after")
    parser.add_argument("sites", nargs="+")
    parser.add_argument("--seeds", type=plays.seeds, required=True)
    parser.add_argument("--days", type=lambda text: text.split(","))
    parser.add_argument("--cpu", action="store_true")
    parser.add_argument("--jobs", type=int, default=max(1, (os.cpu_count() or 2) // 2))
    parser.add_argument("--keep", default=os.path.join(os.path.expanduser("~"), ".cache", "paired"))
    parser.add_argument("--plot")
    parser.add_argument("--why", default="paired comparison")
    args = parser.parse_args()
    simulators = []
    for checkout in (args.before, args.after):
        plays.build(args.bench, checkout)
        simulators.append(plays.Simulator(args.bench, checkout, args.keep, args.cpu, args.why))
    simulations = plays.plays(args.sites, args.days, args.seeds)
    reports = [simulator.all(simulations, args.jobs) for simulator in simulators]
    by_deployment = {}
    for simulation in simulations:
        pair = [simulator[simulation.key] for simulator in reports]
        if None not in pair:
            by_deployment.setdefault(simulation.deployment, []).append(pair)
    for deployment, pairs in by_deployment.items():
        show(deployment, pairs)
    if args.plot:
        plot(args.plot, by_deployment)
    print()
    sys.exit(1 if count_broken(reports[0]) + count_broken(reports[1]) else 0)


if __name__ == "__main__":
    main()
