"""How long a change or a failure takes to reach all hosts, from the logs of all processes.

    ./dev bench spread FILE...

Reads lines that hold a JSON object of our log after any prefix, `TIME HOST {...}` among them, and
prints for each kind of event the time from its cause to the first and to the last entry host:
documents and zone orders (from their answer to the operator), endpoints that leave (from the first
control host that received it), and starts (from the start of an entry host to its service)."""
import collections
import json
import sys


def events(paths):
    """Yields (milliseconds, process, record) of each log line."""
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as lines:
            for line in lines:
                at = line.find("{")
                if at < 0:
                    continue
                try:
                    record = json.loads(line[at:])
                except ValueError:
                    continue
                if not isinstance(record, dict) or "message" not in record:
                    continue
                prefix = line[:at].split()
                try:
                    ms = 1000 * float(prefix[0]) if prefix else float(record["ms"])
                except ValueError:
                    ms = float(record["ms"])
                yield ms, record.get("process", ""), record


class Spread:
    """Causes by key, and when each entry host noticed them."""

    def __init__(self):
        self.caused, self.noticed = {}, collections.defaultdict(dict)

    def cause(self, key, ms):
        self.caused.setdefault(key, ms)

    def notice(self, key, process, ms):
        self.noticed[key].setdefault(process, ms)

    def rows(self):
        for key, ms in sorted(self.caused.items(), key=lambda item: item[1]):
            times = sorted(at - ms for at in self.noticed.get(key, {}).values() if at >= ms - 2000)
            if times:
                yield key, len(times), times


def collect(paths):
    documents, zones, leaving, starts = Spread(), Spread(), Spread(), Spread()
    versions, lives = {}, collections.Counter()
    for ms, process, record in events(paths):
        message = record["message"]
        if message == "document answered" and record.get("outcome") == "kept":
            documents.cause(int(record["version"]), ms)
        elif message == "document in force" and "routes" in record:
            versions[process] = int(record["version"])
            documents.notice(versions[process], process, ms)
        elif message == "zones out of use":
            key = (int(record["index"]), record["zones"])
            if process in versions:
                zones.notice(key, process, ms)
            else:
                zones.cause(key, ms)
        elif message == "endpoint" and record.get("phase") in ("1", "2"):
            leaving.cause(record["id"], ms)
        elif message == "endpoint withdrawn":
            leaving.notice(record["endpoint"], process, ms)
        elif message == "started":
            lives[process] += 1
            starts.cause((process, lives[process]), ms)
        elif message == "in service":
            starts.notice((process, lives[process]), process, ms)
    return documents, zones, leaving, starts


def print_spread(title, spread):
    rows = list(spread.rows())
    if not rows:
        return
    print("%s: %d, ms to the first / median / last entry host" % (title, len(rows)))
    for key, hosts, times in rows:
        print("  %-40s %4d hosts  %7.0f %7.0f %7.0f" % (key, hosts, times[0],
                                                       times[len(times) // 2], times[-1]))


def main():
    if len(sys.argv) < 2:
        sys.exit(__doc__)
    documents, zones, leaving, starts = collect(sys.argv[1:])
    print_spread("documents", documents)
    print_spread("zone orders", zones)
    print_spread("endpoints that leave", leaving)
    times = sorted(times[0] for _, _, times in starts.rows())
    if times:
        print("starts of entry hosts: %d, ms to service: median %.0f, last %.0f" %
              (len(times), times[len(times) // 2], times[-1]))


if __name__ == "__main__":
    main()
