"""Helpers that the benches share: clusters, process counters, load, linear fits and tables."""
import json
import os
import statistics
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))),
                                "tests", "faults"))
from cluster import BUILD, Cluster, KEYS, digest, http, wait_for  # noqa: E402,F401

TICKS = os.sysconf("SC_CLK_TCK")


def quantile(values, q):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else float("nan")


def usage(pid):
    """(processor seconds, resident MB) of a process."""
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(") ", 1)[1].split()
    with open("/proc/%d/status" % pid) as status:
        rss = [line for line in status if line.startswith("VmRSS")][0]
    return (int(fields[11]) + int(fields[12])) / TICKS, int(rss.split()[1]) / 1024


def link_bytes(cluster, address, ticket):
    """(bytes in, bytes out) of one process over links and datagrams between processes."""
    _, _, body = http("GET", "http://%s/metrics" % address, None,
                      {"Authorization": "Bearer " + ticket})
    values = {}
    for line in body.decode().splitlines():
        if line.startswith("liftweir_link_bytes_total"):
            values["in" if 'direction="in"' in line else "out"] = float(line.split()[-1])
    return values.get("in", 0), values.get("out", 0)


def fit(xs, ys):
    """Linear least-squares fit: (base, slope, largest residual)."""
    slope, base = statistics.linear_regression(xs, ys) if len(xs) > 1 else (0, ys[0])
    return base, slope, max(abs(y - base - slope * x) for x, y in zip(xs, ys))


def table(title, columns, rows):
    print("\n## %s\n" % title)
    print("| " + " | ".join(columns) + " |")
    print("|" + " --- |" * len(columns))
    for row in rows:
        print("| " + " | ".join(("%.3g" % c if isinstance(c, float) else str(c)) for c in row) + " |",
              flush=True)


def load(cluster, entries=None, **options):
    """Runs loadgen against the entry hosts, or against `urls`, and returns its summary."""
    urls = options.pop("urls", None) or ",".join(cluster.url(e) for e in
                                                 (entries or sorted(cluster.entry_http)))
    args = [os.path.join(BUILD, "loadgen"), "--urls", urls, "--key",
            options.pop("key", KEYS["geology"])]
    for name, value in options.items():
        args += ["--" + name.replace("_", "-"), str(value)]
    return json.loads(subprocess.run(args, capture_output=True, text=True, timeout=300).stdout)


class WeightStore:
    """A weight store that serves one load at a time, so that the loads of a site queue."""

    def __init__(self, seconds_each):
        store = self
        self.lock, self.loads, self.seconds_each = threading.Lock(), 0, seconds_each

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                with store.lock:
                    store.loads += 1
                    time.sleep(store.seconds_each)
                self.send_response(200)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, *unused):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.url = "http://127.0.0.1:%d/weights" % self.server.server_port
