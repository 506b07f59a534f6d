"""A request that crashes the engine that serves it, on real processes.

Guards against an agent that does not notice the crash of its engine. libcurl then retries the
request on a new connection, which is refused, and the agent reports not-run for a request that had
run. Its gate stays open, because it depends only on the ping replies of the members, so all later
requests are routed to it and fail, and the group is never repaired. With more groups, the same
request, reported as not-run, is retried and can crash up to eight of them."""
import glob
import json
import threading
import time

import pytest

from cluster import Cluster, wait_for

CRASH_MARK = "this-prompt-ends-engines"
RESTART_S = 1.0   # the service manager restarts a crashed engine after this time
REPAIR_S = 10.0   # bound from the crash of the engine until the group serves again


@pytest.fixture
def make():
    clusters = []

    def build(domains):
        c = Cluster(domains=domains, services=0, restart_engines=RESTART_S,
                    engine={"load-ms": 200, "token-ms": 3, "end-on": CRASH_MARK})
        clusters.append(c)
        c.wait_serving(len(domains))
        c.wait_models()
        return c
    yield build
    for c in clusters:
        c.stop()


class Callers:
    """Callers that send ordinary requests until stop(). Each row is (sent at, seconds taken,
    status, outcome, body)."""

    def __init__(self, cluster, count=4):
        self.cluster, self.rows, self.stopping = cluster, [], threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(i,)) for i in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, index):
        number = 0
        while not self.stopping.is_set():
            number += 1
            sent = time.time()
            status, headers, body = self.cluster.complete(
                "ordinary %d %d" % (index, number), 8, entry=index % 2 + 1, stream=index % 4 < 2)
            self.rows.append((sent, time.time() - sent, status, headers.get("Liftweir-Outcome"), body))
            time.sleep(0.02)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.rows


def log_lines(cluster):
    for path in glob.glob(cluster.directory + "/*.log"):
        with open(path, errors="replace") as lines:
            for line in lines:
                if line.startswith("{"):
                    yield json.loads(line)


def test_a_request_that_crashes_an_engine_costs_one_group_which_is_rebuilt(make):
    cluster = make((4, 4))
    callers = Callers(cluster)
    time.sleep(1)
    began = time.time()
    status, headers, body = cluster.complete("a " + CRASH_MARK, 8, stream=False)
    assert (status, headers["Liftweir-Outcome"]) == (502, "unknown"), body
    assert time.time() - began < 2
    wait_for(lambda: len(cluster.serving()) < 2, "the loss is noticed", 3)
    cluster.wait_serving(2, REPAIR_S)
    print("two groups serve %.2f s after the crash" % (time.time() - began))
    time.sleep(1)
    rows = callers.stop()
    assert len(cluster.engine_exits) == 1, "a second engine crashed: %s" % cluster.engine_exits
    # Apart from the marked request, only those in flight at the same engine may fail. Later
    # requests go to the other group, also before the loss is noticed.
    failures = [r for r in rows if r[2] != 200]
    assert all(r[0] < began + 0.5 and r[3] == "unknown" for r in failures), failures
    assert len(failures) <= len(callers.threads)
    assert len([r for r in rows if r[0] > began]) > 50


def test_the_only_group_is_rebuilt_and_why_names_the_request(make):
    cluster = make((4,))
    assert all(cluster.complete("before %d" % i)[0] == 200 for i in range(8))
    began = time.time()
    status, headers, _ = cluster.complete("a " + CRASH_MARK, 8, stream=False)
    assert (status, headers["Liftweir-Outcome"]) == (502, "unknown")
    wait_for(lambda: cluster.complete("after")[0] == 200, "ordinary requests are served again", REPAIR_S)
    print("served again %.2f s after the crash" % (time.time() - began))
    assert all(cluster.complete("after %d" % i)[0] == 200 for i in range(30))
    assert len(cluster.engine_exits) == 1
    ended_events = [row for row in log_lines(cluster) if row["message"] == "endpoint_ended"]
    assert len(ended_events) == 1 and ended_events[0]["request"]
    failures = [row for row in log_lines(cluster) if row["message"] == "request_failed"]
    why_output = cluster.ctl("why", failures[0]["request"],
                             *glob.glob(cluster.directory + "/*.log")).stdout
    assert "endpoint_ended" in why_output and ended_events[0]["request"] in why_output and \
        "group_dissolved" in why_output


def test_an_engine_that_crashes_without_a_request_is_replaced(make):
    """When the engine of an idle group's member crashes, the group must be re-formed without it."""
    cluster = make((5,))
    group = cluster.serving()[0]
    member = group["members"][1]
    cluster.processes["engine-" + member].kill()
    spare = wait_for(lambda: [g for g in cluster.serving() if g["group"] != group["group"]],
                     "a group with the spare serves", REPAIR_S)
    assert member not in spare[0]["members"]
    assert cluster.complete("after")[0] == 200
    # The host is used again once its engine responds: it is the only spare for a second failure.
    time.sleep(RESTART_S + 1)
    other = spare[0]["members"][1]
    cluster.processes["engine-" + other].kill()
    again = wait_for(lambda: [g for g in cluster.serving() if g["group"] not in
                              (group["group"], spare[0]["group"])],
                     "a group with the recovered host serves", REPAIR_S)
    assert member in again[0]["members"] and other not in again[0]["members"]
    assert cluster.complete("after")[0] == 200
