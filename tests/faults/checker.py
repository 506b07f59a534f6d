"""Runs callers and an operator against a cluster, records what they and the stand-ins observe, and
checks the guarantees of the system from these records alone."""
import json
import threading
import time

from cluster import KEYS, digest, expected_text, http, stream_text, wait_for

ECHO_TIMEOUT_MS = 1500
# A request that was forwarded just before the gate closed reaches the engine a little later.
FORWARD_SLACK_MS = 400


class Records:
    """What callers, the operator and the injector of the faults observed."""

    def __init__(self):
        self.completions = []  # (prompt, tokens, status, outcome, text, finished)
        self.saves = []        # (quote, key, status, outcome)
        self.outages = []      # [host, from_ms, to_ms or None]
        self.settings = []     # ("old" or "new" key, entry, status)
        self.lock = threading.Lock()

    def add(self, name, row):
        with self.lock:
            getattr(self, name).append(row)


class Traffic:
    """Callers and an operator that send requests until stop(), through every fault."""

    def __init__(self, cluster, seed=1, pace=0.05):
        self.cluster, self.records, self.pace = cluster, Records(), pace
        self.stopping = False
        self.threads = [threading.Thread(target=run, args=args, daemon=True) for run, args in
                        ((self.completions, (False,)), (self.completions, (True,)),
                         (self.save, ()), (self.settings, ()))]
        self.seed = seed

    def start(self):
        for thread in self.threads:
            thread.start()
        return self

    def stop(self):
        self.stopping = True
        for thread in self.threads:
            thread.join(90)
            assert not thread.is_alive(), "a caller got no response within 90 s"

    def entry(self, n):
        names = sorted(self.cluster.entry_http)
        return names[n % len(names)]

    def one_completion(self, n, stream):
        prompt, tokens = "p%d-%d-%s" % (self.seed, n, stream), 3 + n % 20
        status, headers, body = self.cluster.complete(prompt, tokens, self.entry(n), stream, 60)
        outcome = headers.get("Liftweir-Outcome", "")
        if stream and status == 200:
            text, finished = stream_text(body)
            outcome = outcome or ("completed" if finished else "broken")
        else:
            finished = status == 200
            text = json.loads(body)["choices"][0]["text"] if finished else ""
        self.records.add("completions", (prompt, tokens, status, outcome, text, finished))

    def completions(self, stream):
        n = 0
        while not self.stopping:
            n += 1
            self.one_completion(n, stream)
            time.sleep(self.pace)

    def save(self):
        n = 0
        while not self.stopping:
            n += 1
            quote, key = "q%d-%d" % (self.seed, n), "k%d-%d" % (self.seed, n)
            for attempt in range(3):  # retries through another entry host
                status, headers, _ = self.cluster.save(quote, key if n % 4 else None,
                                                       self.entry(n + attempt))
                self.records.add("saves", (quote, key, status,
                                           headers.get("Liftweir-Outcome", "none")))
                if status == 200 or n % 4 == 0:
                    break
                time.sleep(0.1)
            time.sleep(self.pace)

    def settings(self):
        """Rotates a customer's key. Once the change is in force, no entry host may accept the old
        key or reject the new one."""
        n, old = 0, None
        while not self.stopping:
            n += 1
            new = "probe-%d-%d" % (self.seed, n)
            done = None
            order = "rotate-%d-%d" % (self.seed, n)
            while done is None and not self.stopping:
                try:
                    done = self.cluster.set_many({"customers/probe/key_digest": digest(new)},
                                                 order=order)
                except AssertionError:
                    order += "x"  # rejected because of a conflicting change
                time.sleep(0.05)
            if done is None:
                return
            for entry in sorted(self.cluster.entry_http):
                for what, key in (("old", old), ("new", new)):
                    if key is None:
                        continue
                    status = http("GET", self.cluster.url(entry) + "/v1/models", None,
                                  {"Authorization": "Bearer " + key}, 5)[0]
                    self.records.add("settings", (what, entry, status))
            old = new
            time.sleep(self.pace * 4)

    def host_down(self, host):
        self.records.add("outages", [host, time.time() * 1000, None])

    def host_up(self, host):
        for row in self.records.outages:
            if row[0] == host and row[2] is None:
                row[2] = time.time() * 1000


def violations(records, executions, group_members, counts):
    """Every violation that the records show. `executions` are (ms, host, epoch), `group_members`
    gives the hosts of each epoch, `counts` how often each quote was saved."""
    out = []
    for prompt, tokens, status, outcome, text, finished in records.completions:
        want = expected_text(prompt, tokens)
        if finished and text != want:
            out.append("the response to %s was reported complete and is not" % prompt)
        if not want.startswith(text):
            out.append("the response to %s contains text that was not generated for it" % prompt)
    by_quote = {}
    for quote, _, status, outcome in records.saves:
        by_quote.setdefault(quote, []).append((status, outcome))
    for quote, responses in by_quote.items():
        count = counts.get(quote, 0)
        if count > 1:
            out.append("%s ran %d times" % (quote, count))
        if any(status == 200 for status, _ in responses) and count != 1:
            out.append("%s was confirmed and ran %d times" % (quote, count))
        if all(outcome == "not-run" for _, outcome in responses) and count != 0:
            out.append("%s was reported as not run and ran" % quote)
    for ms, host, epoch in executions:
        for member in group_members.get(epoch, []):
            for name, since, until in records.outages:
                past_timeout = since + ECHO_TIMEOUT_MS + FORWARD_SLACK_MS < ms < (until or 1e18)
                if name == member and past_timeout:
                    out.append("group %d served %.0f ms after its member %s was lost" %
                               (epoch, ms - since, member))
    span = {}
    for ms, host, epoch in executions:
        first, last = span.get(epoch, (ms, ms))
        span[epoch] = (min(first, ms), max(last, ms))
    for one in span:
        for two in span:
            shared = set(group_members.get(one, [])) & set(group_members.get(two, []))
            if one < two and shared and span[one][1] >= span[two][0]:
                out.append("%s served in groups %d and %d at the same time" % (shared, one, two))
    for what, entry, status in records.settings:
        if what == "old" and status == 200:
            out.append("entry %d accepted a key after its removal was in force" % entry)
        if what == "new" and status == 401:
            out.append("entry %d rejected a key after it was in force" % entry)
    return out


def check_records(cluster, records):
    """Collects the records of the stand-ins and the time line, and returns the violations."""
    executions = []
    for name, where in cluster.engines.items():
        status, _, body = http("GET", "http://%s/executions" % where)
        if status == 200:
            executions += [(row["ms"], name, row["fence"]) for row in json.loads(body)]
    members = {}
    for line in cluster.ctl("timeline", "--json").stdout.splitlines():
        row = json.loads(line)
        if row["kind"] == "group_formed":
            members[row["group"]] = row["detail"].split(" on ")[1].split(",")
    status = wait_for(lambda: cluster.rpc("status"), "status")
    found = violations(records, executions, members, cluster.executions())
    return found + list(status.get("violations") or [])


__all__ = ["Traffic", "Records", "check_records", "violations", "KEYS"]
