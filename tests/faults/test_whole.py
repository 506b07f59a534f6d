"""The whole request path and the operators' interface on real processes, without faults."""
import json

import pytest

from cluster import Cluster, http, stream_text, wait_for


@pytest.fixture(scope="module")
def cluster():
    with Cluster(domains=(5, 4)) as c:
        c.wait_serving(2)
        c.wait_models()
        yield c


def test_two_groups_within_their_domains(cluster):
    groups = cluster.serving()
    members = [m for g in groups for m in g["members"]]
    assert len(members) == len(set(members)) == 8
    for group in groups:
        assert {cluster.domain_of[m] for m in group["members"]} == {group["domain"]}


def test_streamed_and_buffered_responses_agree(cluster):
    status, _, body = cluster.complete("shelf 4 core 12", 20)
    text, finished = stream_text(body)
    assert status == 200 and finished and len(text.split()) == 20
    status, headers, body = cluster.complete("shelf 4 core 12", 20, entry=2, stream=False)
    assert status == 200 and headers["Liftweir-Outcome"] == "completed"
    assert json.loads(body)["choices"][0]["text"] == text


def test_a_saved_quote_runs_once_through_both_entries(cluster):
    first = wait_for(lambda: (lambda a: a if a[0] == 200 else None)(
        cluster.save("q-once", "key-once")), "saved")
    again = cluster.save("q-once", "key-once", entry=2)
    assert again[0] == 200 and again[2] == first[2]
    assert again[1]["Liftweir-Replayed"] == "true"
    assert cluster.executions()["q-once"] == 1
    other = cluster.save("another", "key-once")
    assert other[0] == 422 and other[1]["Liftweir-Outcome"] == "not-run"


def test_unauthenticated_callers_read_and_change_nothing(cluster):
    assert http("POST", cluster.url() + "/v1/completions", {})[0] == 401
    assert http("GET", cluster.url() + "/v1/models")[0] == 401
    for where in [cluster.control_http[1], cluster.entry_metrics[1],
                  cluster.agent_addresses["host-a1"][2]]:
        assert http("GET", "http://" + where + "/metrics")[0] == 401
        assert http("GET", "http://" + where + "/events")[0] == 401
    for node in cluster.control_http:
        response = cluster.rpc_at(node, "settings.get", token="wrong")
        assert response["error"]["message"] == "unauthorized"


def test_bad_requests_get_typed_errors(cluster):
    head = {"Authorization": "Bearer key-geology"}
    url = cluster.url() + "/v1/completions"
    deep = b"[" * 5000
    for body, want in [(b"{", 400), (deep, 400), (b"[]", 400), (b"{\"model\":\"none\"}", 404)]:
        status, headers, response = http("POST", url, body, head)
        assert status == want and headers["Liftweir-Outcome"] == "not-run"
        assert json.loads(response)["error"]["type"] in ("bad_request", "not_found")
    assert http("POST", cluster.url() + "/services/none/x", {}, head)[0] == 404


def test_a_field_out_of_range_reaches_no_engine(cluster):
    """Guards against an entry host that forwards fields unchecked: an engine crashes on
    `max_tokens` -5 ("LargestInt out of UInt range"), and later requests then find no endpoint."""
    def started():
        return sum(json.loads(http("GET", "http://%s/record" % a)[2]).get("started", 0)
                   for a in cluster.engines.values())
    before = started()
    head = {"Authorization": "Bearer key-geology"}
    for fields in [{"max_tokens": -5}, {"max_tokens": 0.5}, {"max_tokens": 10 ** 30},
                   {"stream": "yes"}, {"n": 0}, {"temperature": 1e300}, {"prompt": 5},
                   {"model": 5}, {"x": 10 ** 40}]:
        body = {"model": "archive", "prompt": "p", **fields}
        status, headers, response = http("POST", cluster.url() + "/v1/completions", body, head)
        assert status == 400 and headers["Liftweir-Outcome"] == "not-run", fields
        assert json.loads(response)["error"]["type"] == "bad_request"
    status, headers, _ = cluster.complete("p", headers={"Liftweir-Deadline-Ms": "-1"})
    assert status == 400 and headers["Liftweir-Outcome"] == "not-run"
    assert cluster.save("q", "a b")[0] == 400
    assert started() == before, "a request reached an engine"
    assert cluster.complete("an ordinary one")[0] == 200


def test_settings_explain_and_conflicts_name_their_key(cluster):
    base = cluster.rpc("settings.get")["version"]
    change = [{"path": "utility", "key": "models/archive/deadline_ms", "value": 30000}]
    first = cluster.rpc("settings.set", {"order": "o-1", "base": base, "changes": change})
    assert first["in_force"]
    again = cluster.rpc("settings.set", {"order": "o-1", "base": base, "changes": change})
    assert again["version"] == first["version"]
    done = cluster.ctl("settings", "set", "utility", "models/archive/deadline_ms", "1000",
                       "--base", str(base), check=False)
    assert done.returncode == 4 and "models/archive/deadline_ms" in done.stderr
    steps = json.loads(cluster.ctl("settings", "explain", "models/archive/deadline_ms", "--site",
                                   "utility/city/north", "--json").stdout)
    assert [s["path"] for s in steps] == ["(default)", "utility"]
    bad = cluster.ctl("settings", "set", "utility", "models/archive/replica", "1", check=False)
    assert bad.returncode == 2 and "models/archive/replicas" in bad.stderr


def test_the_time_line_covers_every_process(cluster):
    rows = [json.loads(line) for line in cluster.ctl("timeline", "--json").stdout.splitlines()]
    processes = {row["process"] for row in rows}
    assert {"control-1", "control-2", "control-3", "entry-1", "host-a1"} <= processes
    order = [(row["ms"], row["counter"]) for row in rows]
    assert order == sorted(order)
    formed = next(i for i, r in enumerate(rows) if r["kind"] == "group_formed")
    opened = next(i for i, r in enumerate(rows) if r["kind"] == "gate_opened")
    assert formed < opened


def test_an_agent_whose_engine_is_no_engine_logs_it_and_is_not_registered(cluster):
    name = "host-lost"
    cluster.engines[name] = cluster.agent_addresses["host-a1"][2]  # an agent, not an engine
    try:
        cluster.start_agent(name, "fabric-a")
        wait_for(lambda: "the engine can not be emptied" in
                 open(cluster.processes[name].log).read(), "the agent logs it")
        assert cluster.engines[name] in open(cluster.processes[name].log).read()
        assert name not in [h["host"] for h in cluster.rpc("hosts.list")]
    finally:
        cluster.processes[name].kill()
        del cluster.processes[name], cluster.engines[name], cluster.domain_of[name]
