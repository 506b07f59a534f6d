"""Demonstrates the system on loopback: forms groups, serves requests, loses a host, repairs the
group and prints the time line."""
import shutil
import sys
import time

from cluster import Cluster, stream_text, wait_for


def say(text):
    print(text, flush=True)


def main():
    rows = []
    began = time.monotonic()

    def step(what, result):
        rows.append((time.monotonic() - began, what, result))
        say("%6.1f s  %-52s %s" % rows[-1])

    cluster = Cluster(domains=(5, 4), engine={"load-ms": 400, "token-ms": 10})
    try:
        step("started 3 control, 2 entry, 11 agents, 11 stand-ins",
             "loopback, separate data directories")
        groups = cluster.wait_serving(2)
        for group in groups:
            step("group %d serves" % group["group"], ",".join(group["members"]))
        cluster.wait_models()
        status, headers, body = cluster.complete("summarise borehole 17", 12)
        text, finished = stream_text(body)
        step("a caller's streamed completion", "status %d, %d words, complete: %s" %
             (status, len(text.split()), finished))
        status, headers, body = wait_for(
            lambda: (lambda a: a if a[0] == 200 else None)(cluster.save("quote-1", "idem-1")),
            "a quote is saved")
        step("a quote is saved once", "status %d %s" % (status, body.decode()))
        status, headers, body = cluster.save("quote-1", "idem-1", entry=2)
        step("a retry with the same key at the other entry host",
             "status %d, replayed: %s, executions: %d" %
             (status, headers.get("Liftweir-Replayed"), cluster.executions()["quote-1"]))
        victim = groups[0]["members"][-1]
        killed = time.monotonic()
        cluster.processes[victim].kill()
        step("killed the agent on %s" % victim, "a member of group %d" % groups[0]["group"])
        wait_for(lambda: groups[0]["group"] not in [g["group"] for g in cluster.serving()],
                 "the group no longer serves")
        step("its group no longer serves", "after %.1f s" % (time.monotonic() - killed))
        wait_for(lambda: len(cluster.serving()) == 2 and
                 all(victim not in g["members"] for g in cluster.serving()),
                 "the group is re-formed")
        now = [g for g in cluster.serving() if g["group"] not in [o["group"] for o in groups]][0]
        step("re-formed with a spare host as group %d" % now["group"], ",".join(now["members"]))
        status, _, body = cluster.complete("summarise borehole 18", 12)
        step("a completion after the repair", "status %d, complete: %s" %
             (status, stream_text(body)[1]))
        say("\nThe merged time line of all processes (liftweirctl timeline):\n")
        for line in cluster.ctl("timeline").stdout.splitlines()[-34:]:
            say("  " + line[:150])
    finally:
        cluster.stop()
        shutil.rmtree(cluster.directory, ignore_errors=True)
    say("\n%-8s %-52s %s" % ("time", "what happened", "result"))
    for row in rows:
        say("%6.1f s  %-52s %s" % row)
    say("\nAll processes have exited.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
