"""Checks every model exhaustively within its bounds, and that each mutation is caught."""
import concurrent.futures
import os
import re
import subprocess
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
# For each model: the bounds within which it must hold, and the bounds within which the check must
# find a violation under each mutation.
FIGURE_8 = ["TERMS=4", "LENGTH=1", "CANDIDATES=2", "NO_CRASH"]
MODELS = {
    "log": ([["TERMS=2", "LENGTH=2"], ["TERMS=3", "LENGTH=1"], FIGURE_8], {
        "VOTE_AMNESIA": ["TERMS=3", "LENGTH=2"], "OLD_TERM_COMMIT": FIGURE_8,
        "NO_LOG_CHECK": ["TERMS=3", "LENGTH=2"], "ACK_BEFORE_SYNC": ["TERMS=3", "LENGTH=2"]}),
    "group": ([["EPOCHS=3", "RESTARTS=0"], ["EPOCHS=2", "RESTARTS=1"]], {
        "NO_OPENING_WAIT": ["EPOCHS=2", "RESTARTS=1"], "ECHO_RECEIPT": ["EPOCHS=2", "RESTARTS=1"],
        "NO_RELEASE": ["EPOCHS=2", "RESTARTS=1"], "ECHO_ANYTHING": ["EPOCHS=2", "RESTARTS=1"],
        "LAST_GROUP_ONLY": ["EPOCHS=3", "RESTARTS=0"]}),
    "lease": ([[]], {
        name: [] for name in ("RECEIPT_TIME", "ONE_VOUCHER", "VOUCH_APPLIED", "NO_WAIT")}),
    "voters": ([[]], {name: [] for name in ("SAME_NUMBER", "ACK_EARLY", "JOIN_EMPTY")}),
    "takeover": ([[]], {
        name: [] for name in ("ORDER_FIRST", "MEMBER_FIRST", "ADOPT", "NO_FENCE")}),
    "zones": ([[]], {
        name: [] for name in ("PUSH_WITHOUT_ZONES", "OLDER_ZONES", "ZONES_ALONE")}),
}
MEMORY_MB = 3000


def check(model, defines, expect_error):
    with tempfile.TemporaryDirectory() as directory:
        source = os.path.join(HERE, model + ".pml")
        subprocess.run(["spin"] + ["-D" + d for d in defines] + ["-a", source], cwd=directory,
                       check=True, capture_output=True)
        subprocess.run(["gcc", "-O2", "-w", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=%d" % MEMORY_MB,
                        "-o", "pan", "pan.c"], cwd=directory, check=True, capture_output=True)
        out = subprocess.run(["./pan", "-m4000000"], cwd=directory, capture_output=True, text=True)
    text = out.stdout
    states = re.search(r"([\d.e+]+) states, stored", text)
    errors = re.search(r"errors: (\d+)", text)
    complete = "max search depth too small" not in text and "out of memory" not in text
    found = errors is not None and int(errors.group(1)) > 0
    good = found if expect_error else (errors is not None and not found and complete)
    return good, found, complete, states.group(1) if states else "?"


def main():
    jobs = []
    with concurrent.futures.ThreadPoolExecutor(7) as pool:
        for model, (all_bounds, mutations) in MODELS.items():
            for bounds in all_bounds:
                jobs.append((model, "", bounds, pool.submit(check, model, bounds, False)))
            for name, bounds in mutations.items():
                jobs.append((model, name, bounds, pool.submit(check, model, bounds + [name], True)))
        failed = 0
        for model, mutation, bounds, job in jobs:
            good, found, complete, states = job.result()
            what = "mutation " + mutation if mutation else "as built"
            result = ("caught" if found else "NOT CAUGHT") if mutation else (
                "holds" if good else ("VIOLATED" if found else "search incomplete"))
            print("model %-8s %-26s %-12s %s states (%s)" % (
                model, what, result, states, " ".join(bounds) or "no bound on time"))
            failed += 0 if good else 1
    print("models: %s" % ("%d failures" % failed if failed else "all hold, all mutations caught"))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
