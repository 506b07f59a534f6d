"""Planned shutdowns abort no request in flight, and a draining process gets no new requests."""
import json
import signal
import socket
import threading
import time

import pytest

from cluster import Cluster, expected_text, http, stream_text, wait_for


@pytest.fixture(scope="module")
def cluster():
    with Cluster(domains=(8,), services=2, engine={"load-ms": 200, "token-ms": 40}) as c:
        c.wait_serving(1)
        c.wait_models()
        yield c


class LongStreams:
    """Streams of some seconds that must all complete."""

    def __init__(self, cluster, count=6, tokens=90, entry=1):
        self.responses, self.threads = [], []
        for n in range(count):
            prompt = "long-%d-%d" % (n, time.time_ns())
            thread = threading.Thread(target=self.run, args=(cluster, prompt, tokens, entry))
            thread.start()
            self.threads.append(thread)
        self.cluster = cluster
        time.sleep(0.7)

    def run(self, cluster, prompt, tokens, entry):
        status, _, body = cluster.complete(prompt, tokens, entry)
        self.responses.append((status, stream_text(body) == (expected_text(prompt, tokens), True)))

    def join(self):
        for thread in self.threads:
            thread.join(60)
        assert len(self.responses) == len(self.threads)
        assert all(response == (200, True) for response in self.responses), self.responses


def test_an_idle_connection_is_closed_before_its_entry_host_stops(cluster):
    host, port = cluster.url(2).rsplit("/", 1)[1].split(":")
    with socket.create_connection((host, int(port)), timeout=5) as idle:
        def send_request():
            idle.sendall(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n"
                         b"Authorization: Bearer key-geology\r\n\r\n")
            return idle.recv(65536).decode()

        assert send_request().startswith("HTTP/1.1 200 ")
        streams = LongStreams(cluster, count=2, tokens=120, entry=2)
        cluster.processes["entry-2"].signal(signal.SIGTERM)
        time.sleep(1.0)
        assert "connection: close" not in send_request().lower()
        time.sleep(1.2)
        idle.settimeout(1)  # the streams keep the process running for longer than that
        assert idle.recv(65536) == b"", "the idle connection was not closed"
        streams.join()
    assert cluster.processes["entry-2"].popen.wait(10) == 0
    cluster.processes["entry-2"].start()
    wait_for(lambda: http("GET", cluster.url(2) + "/readyz")[0] == 200, "entry 2 is ready again")


def started(cluster):
    total = 0
    for where in cluster.engines.values():
        total += len(json.loads(http("GET", "http://%s/executions" % where)[2]))
    return total


def test_drain_of_a_host_loses_no_stream_and_replaces_its_group_first(cluster):
    group = cluster.wait_serving(1)[0]
    before = started(cluster)
    streams = LongStreams(cluster)
    cluster.ctl("hosts", "drain", group["members"][1])
    wait_for(lambda: any(g["serving"] and g["group"] != group["group"] for g in cluster.groups()),
             "the replacement serves")
    streams.join()
    assert started(cluster) - before == 6, "a stream was aborted and started again"
    wait_for(lambda: group["group"] not in [g["group"] for g in cluster.groups()], "released")
    assert cluster.complete("after", 2)[0] == 200
    cluster.ctl("hosts", "undrain", group["members"][1])


def test_sigterm_of_an_agent_during_streams_loses_none(cluster):
    group = cluster.wait_serving(1)[0]
    before = started(cluster)
    streams = LongStreams(cluster)
    victim = group["members"][0]
    cluster.processes[victim].signal(signal.SIGTERM)
    streams.join()
    assert started(cluster) - before == 6
    assert cluster.processes[victim].exit_code() == 0
    cluster.processes[victim].start()
    cluster.wait_serving(1)


def test_sigterm_of_an_entry_during_streams_loses_none(cluster):
    cluster.wait_serving(1)
    cluster.wait_models()
    streams = LongStreams(cluster, entry=2)
    cluster.processes["entry-2"].signal(signal.SIGTERM)
    wait_for(lambda: http("GET", cluster.url(2) + "/readyz")[0] != 200, "entry 2 is not ready")
    streams.join()
    assert cluster.processes["entry-2"].exit_code() == 0
    cluster.processes["entry-2"].start()
    cluster.wait_models()


def test_a_draining_service_gets_no_new_calls_and_finishes_those_in_flight(cluster):
    name = sorted(cluster.services)[0]
    where = cluster.services[name]
    responses = []
    threads = [threading.Thread(target=lambda n=n: responses.append(
        cluster.save("slow-%d" % n, "slow-key-%d" % n, 1, "/slow"))) for n in range(6)]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    cluster.processes[name].signal(signal.SIGTERM)
    time.sleep(1)
    counts = json.loads(http("GET", "http://%s/counts" % where)[2])
    for n in range(10):
        assert cluster.save("late-%d" % n, "late-key-%d" % n)[0] == 200
    for thread in threads:
        thread.join()
    assert [a[0] for a in responses] == [200] * 6
    assert json.loads(http("GET", "http://%s/counts" % where)[2]) == counts
    assert cluster.processes[name].exit_code() == 0
    cluster.processes[name].start()


def test_a_new_version_is_rolled_out_without_a_gap(cluster):
    old = cluster.wait_serving(1)[0]
    cluster.set("models/archive/version", "2")
    least = 1
    def rolled():
        nonlocal least
        serving = cluster.serving()
        least = min(least, len(serving))
        return any(g["version"] == "2" for g in serving) and \
            old["group"] not in [g["group"] for g in cluster.groups()]
    wait_for(rolled, "version 2 serves and version 1 is released")
    assert least == 1


def test_a_disconnect_of_a_caller_cancels_its_request(cluster):
    cluster.wait_serving(1)
    cluster.wait_models()

    def stopped():
        return sum(json.loads(http("GET", "http://%s/record" % w)[2]).get("cancels", 0)
                   for w in cluster.engines.values())
    before = stopped()
    body = json.dumps({"model": "archive", "prompt": "hang up", "max_tokens": 500, "stream": True})
    host, port = cluster.entry_http[1].split(":")
    with socket.create_connection((host, int(port))) as caller:
        caller.sendall(("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                        "key-geology\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)).encode())
        while b"data: " not in caller.recv(4096):
            pass
    wait_for(lambda: stopped() > before, "the engine receives the cancellation")


def test_an_invalid_config_file_stops_a_process_before_it_opens_a_port(cluster, tmp_path):
    good = json.load(open(cluster.directory + "/entry-1.json"))
    for change, names in [({"htp": "x"}, ["htp", "http"]), ({"http": "nowhere"}, ["http", "ip:port"]),
                          ({"cluster_keys": ["short"]}, ["cluster_keys"])]:
        path = tmp_path / "bad.json"
        path.write_text(json.dumps({**good, **change}))
        process = cluster.spawn("bad", "liftweir-entry", ["--config", str(path)])
        assert process.exit_code() == 2
        text = open(cluster.directory + "/bad.log").read()
        assert "bad.json" in text and all(name in text for name in names)
        del cluster.processes["bad"]


def test_a_damaged_log_is_rejected_and_a_torn_tail_is_truncated(cluster):
    import glob
    import os
    name = "control-3"
    cluster.processes[name].kill()
    segment = sorted(glob.glob(os.path.join(cluster.directory, name, "log-*")))[-1]
    data = open(segment, "rb").read()
    open(segment, "wb").write(data + b"\x40\x00\x00\x00torn")
    cluster.processes[name].start()
    wait_for(lambda: cluster.rpc_at(3, "status")["error"]["message"] == "not_leader"
             if "error" in cluster.rpc_at(3, "status") else True, "it follows again")
    cluster.processes[name].kill()
    data = open(segment, "rb").read()
    open(segment, "wb").write(data[:40] + bytes([data[40] ^ 1]) + data[41:])
    cluster.processes[name].start()
    assert cluster.processes[name].exit_code() == 3
    open(segment, "wb").write(data)
    cluster.processes[name].start()
