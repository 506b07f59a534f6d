"""Gathers the state of the cluster when a test fails, as a rare failure may not happen again."""
import json
import os


def result_or_error(what):
    """The result of `what`, or its error as text: gathering must not hide the failed test."""
    try:
        return what()
    except Exception as error:  # the fault of the test may have broken any part of the cluster
        return repr(error)


def exited_processes(cluster):
    """(name, exit code, last line of its log) of every process that has exited."""
    out = []
    for name, process in cluster.processes.items():
        if process.popen.poll() is not None:
            with open(process.log, errors="replace") as log:
                out.append((name, process.popen.returncode, (log.readlines() or [""])[-1].strip()))
    return out


def gather(cluster, test):
    """Writes the state of the cluster to a file next to its logs, and returns a summary as text."""
    groups = result_or_error(cluster.groups)
    found = {
        "ended": result_or_error(lambda: exited_processes(cluster)),
        "groups": groups,
        "hosts": result_or_error(lambda: cluster.rpc("hosts.list")),
        "decisions": result_or_error(lambda: [cluster.rpc("groups.explain", {"group": g["group"]})
                                  for g in groups]),
        "status": result_or_error(lambda: cluster.rpc("status")),
        "proxy": result_or_error(lambda: cluster.proxy and {name: mode for name, mode in
                                                cluster.proxy.modes.items() if mode != "pass"}),
        "timeline": result_or_error(
            lambda: cluster.ctl("timeline", "--json", check=False).stdout.splitlines()),
    }
    path = os.path.join(cluster.directory, "evidence-%s.json" % test)
    with open(path, "w") as out:
        json.dump(found, out, indent=1)
    return "\n".join(["%s; logs in the same directory" % path] + [
        "%s: %s" % (name, json.dumps(found[name])) for name in found if name != "timeline"] +
        ["end of the time line:"] + found["timeline"][-40:])
