"""Faults on real processes. Each test injects its fault while callers and an operator are active;
then all guarantees are checked from the records of what they observed."""
import time

import pytest

from checker import Traffic, Records, check_records, violations
from cluster import Cluster, expected_text, http, stream_text, wait_for
from evidence import exited_processes


@pytest.fixture(scope="module")
def cluster():
    with Cluster(domains=(5, 5), proxied=True, engine={"load-ms": 200, "token-ms": 3},
                 settings={"customers/probe/key_digest": "0" * 64}) as c:
        c.wait_serving(2)
        c.wait_models()
        yield c


@pytest.fixture
def traffic(cluster):
    """Starts callers on two serving groups. After the test it heals all faults, waits for two
    groups and checks that no guarantee was violated."""
    cluster.wait_serving(2)
    cluster.wait_models()
    running = Traffic(cluster, seed=time.time_ns() % 10 ** 9).start()
    yield running
    cluster.heal()
    for process in cluster.processes.values():
        if process.popen.poll() is None:
            process.resume()
        else:
            process.start()
    for row in running.records.outages:
        row[2] = row[2] or time.time() * 1000
    cluster.wait_serving(2)
    cluster.wait_models()
    time.sleep(0.5)
    running.stop()
    assert exited_processes(cluster) == []
    good = [c for c in running.records.completions if c[5]]
    assert len(good) > 10 and running.records.settings and running.records.saves
    assert check_records(cluster, running.records) == []


def member(cluster, index):
    group = cluster.wait_serving(2)[0]
    return group, group["members"][index]


def wait_repaired(cluster, domain, lost):
    """Waits until one group serves in the domain and no serving group contains the lost host."""
    def repaired():
        serving = cluster.serving()  # one list: the old group may close between two calls
        here = [g for g in serving if g["domain"] == domain]
        lost_absent = all(lost not in g["members"] for g in serving)
        return here[0] if len(here) == 1 and lost_absent else None
    return wait_for(repaired, "the group is repaired")


def test_a_killed_member_stops_its_group_which_is_rebuilt(cluster, traffic):
    group, victim = member(cluster, 2)
    cluster.processes[victim].kill()
    traffic.host_down(victim)
    wait_for(lambda: group["group"] not in [g["group"] for g in cluster.serving()], "stopped")
    cluster.wait_serving(2)


def test_a_member_paused_for_longer_than_every_lease(cluster, traffic):
    group, victim = member(cluster, 1)
    cluster.processes[victim].pause()
    traffic.host_down(victim)
    time.sleep(4)
    cluster.processes[victim].resume()
    traffic.host_up(victim)
    time.sleep(1)


def test_a_paused_lead_and_a_second_host_lost_right_after_the_repair(cluster, traffic):
    group, lead = member(cluster, 0)
    # The repair needs a spare host. The host that an earlier test killed becomes one only after its
    # agent restarted and unloaded its engine.
    wait_for(lambda: cluster.spares(group["domain"]), "a spare host in " + group["domain"])
    cluster.processes[lead].pause()
    traffic.host_down(lead)
    repaired = wait_repaired(cluster, group["domain"], lead)
    second = repaired["members"][-1]
    cluster.processes[second].kill()
    traffic.host_down(second)
    time.sleep(3)
    cluster.processes[lead].resume()
    traffic.host_up(lead)


def test_a_fabric_domain_becomes_unreachable_and_recovers(cluster, traffic):
    domain_hosts = [n for n, d in cluster.domain_of.items() if d == "fabric-b"]
    for name in domain_hosts:
        cluster.processes[name].pause()
        traffic.host_down(name)
    time.sleep(4)
    for name in domain_hosts:
        cluster.processes[name].resume()
        traffic.host_up(name)


def test_a_leading_control_host_is_killed(cluster, traffic):
    node = wait_for(cluster.leader, "a leader")
    cluster.processes["control-%d" % node].kill()
    wait_for(lambda: cluster.leader() not in (None, node), "another leader")
    cluster.set("retries/attempts", 4)


def test_a_leading_control_host_is_partitioned(cluster, traffic):
    node = wait_for(cluster.leader, "a leader")
    cluster.partition("control-%d" % node)
    wait_for(lambda: cluster.leader() not in (None, node), "another leader")
    response = cluster.rpc_at(node, "settings.get", timeout=3)
    assert "error" in response, "a control host without a majority responded as leader"
    cluster.set("retries/attempts", 3)
    time.sleep(2)


def test_one_way_partitions_between_agents_and_between_control_hosts(cluster, traffic):
    group, lead = member(cluster, 0)
    cluster.proxy.set(group["members"][1], "silent_in")  # ping replies are lost, pings arrive
    node = wait_for(cluster.leader, "a leader")
    other = node % 3 + 1
    cluster.proxy.set("control-%d>control-%d" % (other, node), "silent_out")
    time.sleep(4)


def test_doubled_reordered_and_truncated_datagrams(cluster, traffic):
    for name, mode in zip(sorted(cluster.domain_of), ["double", "reorder", "truncate", "slow"] * 3):
        cluster.proxy.set(name, mode)
    time.sleep(3)


def test_an_entry_host_partitioned_from_control_admits_nothing(cluster, traffic):
    cluster.partition("entry-1")
    def refused():
        status, headers, _ = cluster.complete("cut off", 2, 1, False, 10)
        return status == 503 and headers.get("Liftweir-Outcome") == "not-run"
    wait_for(refused, "entry 1 refuses")
    assert cluster.complete("not cut off", 2, 2, False)[0] == 200
    cluster.heal()
    wait_for(lambda: cluster.complete("healed", 2, 1, False)[0] == 200, "entry 1 serves again")


def test_without_a_control_majority_saves_are_refused_as_not_run(cluster, traffic):
    for node in (1, 2):
        cluster.processes["control-%d" % node].kill()
    def refused():
        status, headers, _ = cluster.save("nobody", "no-control", 1)
        return status == 503 and headers.get("Liftweir-Outcome") == "not-run"
    wait_for(refused, "saves are refused as not run")
    for node in (1, 2):
        cluster.processes["control-%d" % node].start()
    status = wait_for(lambda: (lambda a: a if a[0] == 200 else None)(
        cluster.save("nobody", "no-control", 2)), "saved after the outage")
    assert cluster.executions()["nobody"] == 1


def test_every_process_restarts_after_hundreds_of_changes(cluster, traffic):
    late = [n for n in cluster.control_links if n != cluster.leader()][0]
    cluster.processes["control-%d" % late].kill()
    for n in range(150):
        cluster.set("once/answer_bytes", 10000 + n)
    cluster.processes["control-%d" % late].start()
    cluster.processes["entry-2"].kill()
    cluster.processes["entry-2"].start()
    wait_for(lambda: http("GET", cluster.url(2) + "/readyz")[0] == 200, "entry 2 is ready")
    first = wait_for(cluster.leader, "a leader")
    if late != first:
        cluster.processes["control-%d" % first].kill()
        wait_for(cluster.leader, "a leader among the others")
        assert [row for row in cluster.rpc("settings.get")["settings"]
                if row["key"] == "once/answer_bytes"][0]["value"] == 10149


def test_two_entry_hosts_with_one_key_at_the_same_time_run_it_once(cluster, traffic):
    import threading
    responses = []
    for n in range(10):
        threads = [threading.Thread(target=lambda e=e: responses.append(
            cluster.save("twin-%d" % n, "twin-key-%d" % n, e))) for e in (1, 2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    assert {a[0] for a in responses} <= {200, 409}
    assert all(cluster.executions()["twin-%d" % n] == 1 for n in range(10))


def test_an_entry_killed_in_a_call_leaves_an_unknown_outcome_that_an_operator_resolves(
        cluster, traffic):
    import threading
    thread = threading.Thread(target=cluster.save, args=("ghost", "ghost-key", 1, "/vanish", 5))
    thread.start()
    wait_for(lambda: cluster.executions().get("ghost") == 1, "the call runs")
    cluster.processes["entry-1"].kill()
    cluster.processes["entry-1"].start()
    thread.join()
    def unknown():
        status, headers, _ = cluster.save("ghost", "ghost-key", 2, "/vanish")
        return status == 409 and headers["Liftweir-Outcome"] == "unknown" and \
            cluster.rpc("once.show", {"customer": "geology", "key": "ghost-key"})[0][
                "phase"] == "unknown"
    wait_for(unknown, "the outcome is reported as unknown")
    assert cluster.executions()["ghost"] == 1
    cluster.ctl("once", "resolve", "geology", "ghost-key", "ran")
    status, headers, _ = cluster.save("ghost", "ghost-key", 2, "/vanish")
    assert (status, headers["Liftweir-Outcome"]) == (409, "completed")
    assert cluster.executions()["ghost"] == 1


def test_the_checker_catches_planted_violations():
    good = expected_text("p", 4)
    def found(**rows):
        records = Records()
        for name, value in rows.items():
            if hasattr(records, name):
                setattr(records, name, value)
        return violations(records, rows.get("executions", []), rows.get("groups", {}),
                          rows.get("counts", {}))
    assert found(completions=[("p", 4, 200, "completed", good, True)]) == []
    assert found(completions=[("p", 4, 200, "completed", good[:-3], True)])
    assert found(completions=[("p", 4, 200, "broken", "foreign ", False)])
    assert found(saves=[("q", "k", 200, "completed")], counts={"q": 2})
    assert found(saves=[("q", "k", 200, "completed")], counts={})
    assert found(saves=[("q", "k", 503, "not-run")], counts={"q": 1})
    assert not found(saves=[("q", "k", 409, "unknown")], counts={"q": 1})
    groups = {7: ["a", "b"], 9: ["b", "c"]}
    assert found(outages=[["b", 1000, None]], executions=[(4000, "a", 7)], groups=groups)
    assert not found(outages=[["b", 1000, None]], executions=[(2000, "a", 7)], groups=groups)
    assert found(executions=[(1000, "a", 7), (2000, "b", 9), (3000, "a", 7)], groups=groups)
    assert found(settings=[("old", 1, 200)]) and found(settings=[("new", 1, 401)])
