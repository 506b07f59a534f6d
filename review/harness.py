"""Starts the programs of the deploy file as processes on loopback addresses, with settings files
that are filled from deploy/settings.json.template, and records what callers and workers see.

Every run uses a free network 127.N.0.0/16 and a temporary directory. Signals go only to processes
that the run started."""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "site"))

import http1  # noqa: E402  (the project's own HTTP stand-in)

HELD, BROKEN, UNABLE = 0, 1, 2  # exit codes of a case
LINK, CONTROL, FRONT, READY, METRICS = 7340, 8229, 8227, 8220, 9464

# The bounds of the sheet of the Core Archive Assistant.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000,
    "downgrade-slack-ms": 250, "outer-bound-ms": 5000, "fail-closed": True, "revoke-ms": 5000,
    "retry-budget-ratio": 0.2, "retry-window-s": 10, "retry-budget-slack": 202, "recovery-s": 12,
    "pass_ms": 120, "again_s": 0, "stall_ms": 5000, "fencing-required": True,
    "ceiling-window-s": 5, "ceiling-overshoot": 1.1,
}
CONTACT_S = BOUNDS["contact-ms"] / 1000
DRAIN_S = BOUNDS["drain-ms"] / 1000
HEARTBEAT_S = 1.2


class Unable(Exception):
    """The case could not run."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


# ---- settings

def lookup(fields, path):
    value = fields
    for part in path.split("."):
        try:
            value = value[int(part)] if isinstance(value, list) else value[part]
        except (KeyError, IndexError, ValueError, TypeError):
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def fill(template, fields):
    """Fills the gaps that the project's template uses, by the rules of the page on deployment."""
    def section(match):
        value, body = lookup(fields, match.group(1)), match.group(2)
        keys = list(value) if isinstance(value, (dict, list)) else []
        out = ""
        for number, key in enumerate(keys):
            last = number == len(keys) - 1
            out += body.replace("{{@}}", str(key)).replace("{{,}}", "" if last else ",")
        return out

    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    text = re.sub(r"\{\{([^}|]+)\|json\}\}", lambda m: json.dumps(lookup(fields, m.group(1))), text)
    return re.sub(r"\{\{([^}]+)\}\}", lambda m: as_text(lookup(fields, m.group(1))), text)


# ---- processes

class Process:
    """One program of the deploy file. `events` holds the times of its kills and starts."""

    def __init__(self, role, fields, directory, more=None):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            self.role = tomllib.load(deploy)["roles"][role]
        self.name, self.fields, self.more = fields["node-name"], fields, more or {}
        self.file = os.path.join(directory, self.name + ".settings")
        self.log = os.path.join(directory, self.name + ".log")
        self.popen, self.events = None, []

    def start(self):
        program = os.path.join(ROOT, self.role["run"].split()[0])
        if not os.path.exists(program):
            raise Unable("%s is not built: run the build command of deploy/system.toml" %
                         self.role["run"])
        with open(os.path.join(ROOT, self.role["template"])) as template:
            settings = fill(template.read(), self.fields)
        if self.more:
            settings = json.dumps({**json.loads(settings), **self.more})
        with open(self.file, "w") as out:
            out.write(settings)
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(self.log, "a") as log:
            self.popen = subprocess.Popen(
                [program] + self.role["run"].split()[1:], cwd=ROOT, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL, env={**env, "LIFTWEIR_BOOT": self.file})
        self.events.append(time.monotonic())
        self.fields["first-start"] = False

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def kill(self):
        if self.running():
            self.popen.send_signal(signal.SIGKILL)
            self.popen.wait()
        self.events.append(time.monotonic())


def free_net():
    for net in random.SystemRandom().sample(range(100, 250), 150):
        try:
            for ip in ("127.%d.1.1" % net, "127.%d.2.1" % net):
                for port in (LINK, CONTROL, FRONT, METRICS):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
            return net
        except OSError:
            continue
    raise Unable("no free loopback network")


class Site:
    """Control hosts 127.N.1.x, entry hosts 127.N.2.x and workers 127.N.3.x."""

    def __init__(self, controls=3, entries=2, more_control=None):
        self.net = free_net()
        self.directory = tempfile.mkdtemp(prefix="liftweir-review-")
        self.record = []
        self.began = time.monotonic()
        self.controls, self.entries, self.workers = [], [], []
        self.control_addresses = ["127.%d.1.%d:%d" % (self.net, n + 1, CONTROL)
                                  for n in range(controls)]
        for n in range(controls):
            fields = self.fields("control-%d" % (n + 1), "control", "core", 1, n)
            fields["listen"] = {"control": self.control_addresses[n]}
            fields["data-dir"] = os.path.join(self.directory, "data-%d" % (n + 1))
            more = more_control(n, fields) if more_control else None
            self.controls.append(Process("control", fields, self.directory, more))
        for n in range(entries):
            fields = self.fields("entry-%d" % (n + 1), "entry", "front", 2, n)
            fields["listen"] = {"front": "%s:%d" % (fields["ip"], FRONT),
                                "ready": "%s:%d" % (fields["ip"], READY)}
            self.entries.append(Process("entry", fields, self.directory))

    def fields(self, name, role, machine_class, kind, number):
        return {
            "node-name": name, "role": role, "machine-class": machine_class,
            "ip": "127.%d.%d.%d" % (self.net, kind, number + 1), "zone": "z1", "region": "r1",
            "internal-port-range": [LINK, LINK + 15], "seeds": self.control_addresses[:3],
            "first-start": True, "heartbeat-ms": int(HEARTBEAT_S * 1000),
            "zones": {"z1": "r1"}, "limits": {"memory-mb": 256, "max-fds": 4096},
            "fault-tolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
        }

    def note(self, text):
        self.record.append((time.monotonic() - self.began, text))

    def seconds(self, when):
        return when - self.began

    def start(self):
        for process in self.controls + self.entries:
            process.start()
        self.note("started %d control hosts and %d entry hosts" % (len(self.controls),
                                                                   len(self.entries)))

    def last_event(self, processes):
        return max(when for process in processes for when in process.events)

    def end(self):
        for process in self.controls + self.entries:
            if process.running():
                process.popen.send_signal(signal.SIGKILL)
                process.popen.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs kept in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def write_record(self, folder, result):
        with open(os.path.join(folder, "record.txt"), "w") as out:
            out.write("TROUBLE=%s\n" % ("1" if trouble() else "0"))
            for when, text in sorted(self.record):
                out.write("%8.3f s  %s\n" % (when, text))
            out.write("result: %s\n" % result)

    # ---- the operator

    async def control_call(self, method, path, body=b"", address=None):
        address = address or random.choice(self.control_addresses)
        for _ in range(3):
            try:
                status, headers, got = await http1.call(address, method, path, body=body, timeout=1)
            except http1.IncompleteResponse:
                return 0, b""
            if status != 307:
                return status, got
            address = headers["location"].split("//", 1)[1].split("/", 1)[0]
        return 0, b""

    async def put_manifest(self, manifest, timeout_s=20):
        """Sends the manifest until it is acknowledged. Returns whether it was."""
        until = time.monotonic() + timeout_s
        body = json.dumps(manifest).encode()
        while time.monotonic() < until:
            status, _ = await self.control_call("POST", "/Config.Replace", body)
            if status == 200:
                self.note("operator: manifest %d acknowledged" % manifest["version"])
                return True
            if 400 <= status < 500:
                raise Unable("the manifest was refused with %d" % status)
            await asyncio.sleep(0.1)
        return False

    async def entry_ready(self, entry):
        try:
            return (await http1.call(entry.fields["listen"]["ready"], "GET", "/readyz",
                                     timeout=1))[0] == 200
        except http1.IncompleteResponse:
            return False

    async def wait_ready(self, timeout_s=20):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if all([await self.entry_ready(entry) for entry in self.entries]):
                return
            await asyncio.sleep(0.1)
        raise Unable("the entry hosts did not become ready")


TENANTS = [{"name": "tenant-a", "api-keys": ["key-a"], "priority": 1},
           {"name": "tenant-b", "api-keys": ["key-b"], "priority": 1}]


def manifest(version=1):
    def route(name, kind):
        return {"name": "r-" + name, "hostname": "site.example", "path-prefix": "/%s/" % name,
                "route-type": kind, "timeout-ms": 4000, "target-latency-ms": 300, "priority": 1,
                "service": "app", "max-attempts": 2, "public-access": False}
    return {"version": version, "routes": [route("look", "safe"), route("save", "unsafe")],
            "services": [{"name": "app", "health-path": "/healthz", "max-connections": 110,
                          "protocol": "h1", "tls": False}],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": TENANTS}


class Worker:
    """A worker of the service `app`, as the pages describe it: it registers about every
    heartbeat, refuses requests for another instance with 421, and repeats `Request-Id`."""

    def __init__(self, site, number):
        self.site = site
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.address = "127.%d.3.%d:8080" % (site.net, number)
        self.sequence = 0
        self.work_s = 0.02
        self.arrivals = []  # (time, request id) of requests that it ran
        self.answered = set()  # ids of these that it answered
        self.writers = set()
        self.ended = False
        self.beating = None
        site.workers.append(self)

    async def start(self):
        self.server = await http1.serve(self.address, self.handle)
        self.beating = asyncio.ensure_future(self.beat())

    def body(self):
        self.sequence += 1
        return json.dumps({
            "service": "app", "address": self.address, "zone": "z1", "version": "v1", "slots": 6,
            "state": "ready", "cold-remaining-ms": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    async def send_report(self, body, address=None):
        """Sends a report to one control host after the other until one acknowledges it. Returns
        the address of that one."""
        for control in [address] if address else random.sample(
                self.site.control_addresses, len(self.site.control_addresses)):
            try:
                status, _, _ = await http1.call(control, "POST", "/Instances.Heartbeat/" + self.id,
                                                body=body, timeout=1)
            except http1.IncompleteResponse:
                continue
            if status == 200:
                return control
        return None

    async def beat(self):
        while True:
            await self.send_report(self.body())
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self, control):
        """Returns whether the control host acknowledged that this worker leaves."""
        self.beating.cancel()
        body = json.dumps({"service": "app", "address": self.address, "born": self.born}).encode()
        try:
            status, _, _ = await http1.call(control, "POST", "/Instances.Deregister/" + self.id,
                                            body=body, timeout=1)
        except http1.IncompleteResponse:
            return False
        return status == 200

    def stop(self):
        """Ends as a process does: open channels are reset."""
        if self.beating:
            self.beating.cancel()
        self.ended = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    async def handle(self, method, path, headers, body, writer):
        if self.ended:
            writer.transport.abort()
            raise EOFError
        self.writers = {w for w in self.writers if not w.transport.is_closing()} | {writer}
        if headers.get("target-instance", self.id) != self.id:
            writer.write(http1.head("HTTP/1.1 421 X", {"Content-Length": "0",
                                                       "Request-Id": headers.get("request-id", ""),
                                                       "Not-Executed": "1"}))
            return
        if path == "/report":
            state = json.dumps({"born": self.born, "sequence": 0}).encode()
            writer.write(http1.head("HTTP/1.1 200 OK", {"Content-Length": str(len(state))}) + state)
            return
        request = headers.get("request-id", "")
        self.arrivals.append((time.monotonic(), request))
        self.site.note("worker %s runs %s" % (self.id, request))
        await asyncio.sleep(self.work_s)
        answer = b"done:" + request.encode()
        writer.write(http1.head("HTTP/1.1 200 OK", {
            "Request-Id": request, "Response-Signature": "%s.%s" % (self.id, request),
            "Content-Length": str(len(answer))}) + answer)
        if not writer.transport.is_closing():
            self.answered.add(request)


async def ask(site, entry, route="look", key="key-a", timeout=4.0):
    """Sends one request on a new channel. Returns (id, time sent, status, headers, body); status 0
    stands for no complete answer."""
    number = "%016x" % random.getrandbits(64)
    sent = time.monotonic()
    try:
        status, headers, body = await http1.call(
            entry.fields["listen"]["front"], "POST", "/%s/x" % route,
            {"Host": "site.example", "Request-Id": number, "Authorization": "Bearer " + key,
             "Deadline-Ms": str(int(timeout * 1000))}, b"body", timeout + 0.5)
    except http1.IncompleteResponse:
        status, headers, body = 0, {}, b""
    site.note("caller: %s (%s, sent to %s at %.3f s) is answered %s, signature %s" % (
        number, route, entry.name, site.seconds(sent), status or "nothing",
        headers.get("response-signature")))
    return number, sent, status, headers, body


async def request(site, entry, route="look", key="key-a", timeout=4.0):
    """Like ask(), but returns (id, time sent, status) only."""
    return (await ask(site, entry, route, key, timeout))[:3]


def run_case(folder, case):
    """Runs `case(site_holder)` and exits with its result."""
    holder = []
    code, text = UNABLE, "could not run"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNABLE))
    try:
        code, text = asyncio.run(asyncio.wait_for(case(holder), 110))
    except Unable as unable:
        text = str(unable)
    except (asyncio.TimeoutError, AssertionError, OSError) as error:
        text = "could not run: %r" % error
    finally:
        for site in holder:
            site.end()
            site.write_record(folder, text)
    print(text)
    sys.exit(code)
