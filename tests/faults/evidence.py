"""What is kept of a test that failed: a rare failure is traced from one run or not at all."""
import json
import os


def ask(what):
    """The answer, or why there is none: gathering must not hide the failure it is about."""
    try:
        return what()
    except Exception as error:  # whatever the fault of the test has done to the cluster
        return repr(error)


def ended(cluster):
    """(name, exit code, last line of its log) of every process that does not run."""
    out = []
    for name, process in cluster.processes.items():
        if process.popen.poll() is not None:
            with open(process.log, errors="replace") as log:
                out.append((name, process.popen.returncode, (log.readlines() or [""])[-1].strip()))
    return out


def gather(cluster, test):
    """Writes all that is known of the cluster beside its logs, and returns the gist as text."""
    groups = ask(cluster.groups)
    found = {
        "ended": ask(lambda: ended(cluster)),
        "groups": groups,
        "hosts": ask(lambda: cluster.rpc("hosts.list")),
        "decisions": ask(lambda: [cluster.rpc("groups.explain", {"group": g["group"]})
                                  for g in groups]),
        "status": ask(lambda: cluster.rpc("status")),
        "proxy": ask(lambda: cluster.proxy and {name: mode for name, mode in
                                                cluster.proxy.modes.items() if mode != "pass"}),
        "timeline": ask(lambda: cluster.ctl("timeline", "--json", check=False).stdout.splitlines()),
    }
    path = os.path.join(cluster.folder, "evidence-%s.json" % test)
    with open(path, "w") as out:
        json.dump(found, out, indent=1)
    return "\n".join(["%s; logs beside it" % path] + [
        "%s: %s" % (name, json.dumps(found[name])) for name in found if name != "timeline"] +
        ["the last of the time line:"] + found["timeline"][-40:])
