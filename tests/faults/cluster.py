"""Runs liftweir-control, liftweir-entry, liftweir-agent and the stand-ins as processes on loopback,
and drives and observes them for tests, benches and the demo."""
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.error
import urllib.request
import zlib

from proxy import FaultProxy

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("LIFTWEIR_BUILD", os.path.join(ROOT, "build", "release"))
ADMIN = "admin-token"
SITE = "utility/city/north"
KEYS = {"geology": "key-geology", "archive-desk": "key-desk"}


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


# Ports below the ephemeral range, so that the kernel gives the port of a killed process to no other
# socket before that process starts again.
with open("/proc/sys/net/ipv4/ip_local_port_range") as _range:
    PORTS = range(10240, int(_range.read().split()[0]))
PORTS_AT_ONCE = 64
_port_locks = []  # open sockets whose names reserve blocks of ports until this process exits
_free_ports = []


def reserve_ports():
    """Reserves a block of ports that no other test process of this machine uses."""
    starts = list(PORTS[:-PORTS_AT_ONCE:PORTS_AT_ONCE])
    random.SystemRandom().shuffle(starts)
    for start in starts:
        keeper = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            keeper.bind("\0liftweir-test-ports-%d" % start)
        except OSError:
            keeper.close()
            continue
        _port_locks.append(keeper)
        _free_ports.extend(range(start, start + PORTS_AT_ONCE))
        return
    raise AssertionError("all test ports of this machine are in use")


def free_port():
    """A port that is free for TCP and UDP. Concurrent test processes never get the same one."""
    while True:
        if not _free_ports:
            reserve_ports()
        port = _free_ports.pop()
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind(("127.0.0.1", port))
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def address():
    return "127.0.0.1:%d" % free_port()


def wait_for(condition, what, seconds=30.0, every=0.05):
    """Polls until the condition is true and returns its value. Raises AssertionError on timeout."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise AssertionError("not within %.0f s: %s" % (seconds, what))
        time.sleep(every)


def http(method, url, body=None, headers=None, timeout=30):
    """Returns (status, headers, body), or (0, {}, reason) without a complete response."""
    data = None if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    if body is not None and not isinstance(body, bytes):
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.build_opener(urllib.request.ProxyHandler({})).open(
                request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except (OSError, ValueError, urllib.error.URLError, EOFError) as error:
        return 0, {}, str(error).encode()
    except Exception as error:  # http.client raises many types on a truncated response
        return 0, {}, repr(error).encode()


def domain_letters(d):
    return chr(ord("a") + d % 26) * (1 + d // 26)


def host_name(d, i):
    return "host-%s%d" % (domain_letters(d), i + 1)


class Process:
    def __init__(self, name, args, log):
        self.name, self.args, self.log = name, args, log
        self.popen = None
        self.start()

    def start(self):
        with open(self.log, "ab") as out:
            self.popen = subprocess.Popen(self.args, stdout=out, stderr=out)

    @property
    def pid(self):
        return self.popen.pid

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def exit_code(self, seconds=30):
        return self.popen.wait(timeout=seconds)


class Cluster:
    """A whole system. `domains` gives the number of engine hosts of each fabric domain."""

    def __init__(self, controls=3, entries=2, domains=(4, 4), services=2, engine=None, settings=None,
                 threads=1, accelerators=8, directory=None, start=True, fence=True, proxied=False,
                 pooled=False, restart_engines=None):
        self.proxy = FaultProxy() if proxied else None
        self.directory = directory or tempfile.mkdtemp(prefix="liftweir-")
        self.processes = {}
        self.engine_args = engine or {}
        self.threads, self.accelerators, self.fence = threads, accelerators, fence
        self.control_links = {i + 1: address() for i in range(controls)}
        self.control_http = {i + 1: address() for i in range(controls)}
        self.entry_http, self.entry_metrics = {}, {}
        self.engines, self.services, self.domain_of = {}, {}, {}
        self.link_via = {}  # name -> {node: address of the fault proxy before that control host}
        self.entries, self.domains, self.service_count = entries, domains, services
        self.settings = settings or {}
        self.pooled = pooled  # whether all stand-in engines run in one process
        self.agent_addresses = {}
        self.engine_exits = []  # (time, name) of engines that exited by themselves
        self.restart_engines = restart_engines  # restart delay in seconds of an engine that exited
        self.stopping = threading.Event()
        self.keeper = None
        if proxied:
            for i in range(controls):
                self.proxy_control("control-%d" % (i + 1))
            for i in range(entries):
                self.proxy_control("entry-%d" % (i + 1))
            for d, count in enumerate(domains):
                for i in range(count):
                    self.proxy_control(host_name(d, i))
        if start:
            self.start()

    # ---- processes

    def proxy_control(self, name):
        """Puts a proxy into every link of this process to the control hosts."""
        self.link_via[name] = {n: a if name == "control-%d" % n else
                               self.proxy.tcp("%s>control-%d" % (name, n), a)
                               for n, a in self.control_links.items()}

    def links(self, name):
        """Names of the proxied links that touch a process."""
        return [link for link in self.proxy.names()
                if name in link.split(">")]

    def partition(self, name, mode="silent"):
        for link in self.links(name):
            self.proxy.set(link, mode)

    def heal(self):
        self.proxy.heal()

    def binary(self, name):
        return os.path.join(BUILD, name)

    def config(self, name, **values):
        path = os.path.join(self.directory, name + ".json")
        base = {"name": name, "zone": values.pop("zone", "zone-1"), "cluster_keys":
                ["a-shared-cluster-key"],
                "control": {str(n): a for n, a in
                            self.link_via.get(name, self.control_links).items()}}
        base.update(values)
        with open(path, "w") as out:
            json.dump(base, out)
        return path

    def spawn(self, name, binary, args):
        log = os.path.join(self.directory, name + ".log")
        process = Process(name, [self.binary(binary)] + args, log)
        self.processes[name] = process
        return process

    def start_control(self, node, **extra):
        name = "control-%d" % node
        path = self.config(name, zone="zone-%d" % node, node=node, listen=self.control_links[node],
                           http=self.control_http[node], data=os.path.join(self.directory, name),
                           bootstrap_admin_digest=digest(ADMIN), **extra)
        return self.spawn(name, "liftweir-control", ["--config", path])

    def start_entry(self, index):
        name = "entry-%d" % index
        self.entry_http.setdefault(index, address())
        self.entry_metrics.setdefault(index, address())
        path = self.config(name, zone="zone-%d" % (index % 3 + 1), site=SITE,
                           http=self.entry_http[index], metrics=self.entry_metrics[index],
                           threads=self.threads)
        return self.spawn(name, "liftweir-entry", ["--config", path])

    def start_engine_pool(self):
        names = [host_name(d, i) for d, count in enumerate(self.domains) for i in range(count)]
        for name in names:
            self.engines[name] = address()
        args = ["--http", ",".join(self.engines[name] for name in names)]
        for key, value in self.engine_args.items():
            args += ["--" + key, str(value)]
        self.spawn("engines", "fake-engine", args)

    def start_engine(self, name):
        if self.pooled:
            return
        http_address = self.engines.setdefault(name, address())
        args = ["--http", http_address]
        for key, value in self.engine_args.items():
            args += ["--" + key, str(value)]
        if not self.fence:
            args += ["--fence", "0"]
        return self.spawn("engine-" + name, "fake-engine", args)

    def start_agent(self, name, domain, zone="zone-1"):
        self.domain_of[name] = domain
        listen, ping, http_address = self.agent_addresses.setdefault(name, (address(), address(), address()))
        path = self.config(name, zone=zone, site=SITE, listen=listen, ping=ping, http=http_address,
                           domain=domain, accelerators=self.accelerators,
                           engine_url="http://" + self.engines[name],
                           engine_checks_fence=self.fence, **self.advertised(name, listen, ping))
        return self.spawn(name, "liftweir-agent", ["--config", path])

    def advertised(self, name, listen, ping):
        """Settings that advertise the fault proxy before an agent, if there is one."""
        if self.proxy is None:
            return {}
        return {"advertise": self.proxy.tcp(name, listen), "advertise_ping":
                self.proxy.udp(name, ping)}

    def start_service(self, name, service="quotes"):
        http_address = self.services.setdefault(name, address())
        self.spawn("service-" + name, "fake-service", ["--http", http_address])
        listen, ping, agent_http = self.agent_addresses.setdefault(name, (address(), address(), address()))
        path = self.config(name, site=SITE, listen=listen, ping=ping, http=agent_http,
                           service=service, service_url="http://" + http_address,
                           **self.advertised(name, listen, ping))
        return self.spawn(name, "liftweir-agent", ["--config", path])

    def start(self):
        for node in self.control_links:
            self.start_control(node)
        if self.pooled:
            self.start_engine_pool()
        for d, count in enumerate(self.domains):
            for i in range(count):
                name = host_name(d, i)
                self.start_engine(name)
                self.start_agent(name, "fabric-%s" % domain_letters(d), "zone-%d" % (d % 3 + 1))
        for i in range(self.service_count):
            self.start_service("host-q%d" % (i + 1))
        for i in range(self.entries):
            self.start_entry(i + 1)
        self.first_settings()
        if self.restart_engines is not None:
            self.keeper = threading.Thread(target=self.restart_exited_engines, daemon=True)
            self.keeper.start()

    def restart_exited_engines(self):
        """Restarts engines that exit, as a service manager does."""
        due = {}
        while not self.stopping.wait(0.02):
            for name, process in list(self.processes.items()):
                if not name.startswith("engine-") or process.popen.poll() is None:
                    continue
                if name not in due:
                    self.engine_exits.append((time.time(), name))
                    due[name] = time.monotonic() + self.restart_engines
                elif time.monotonic() >= due[name]:
                    del due[name]
                    process.start()

    def first_settings(self):
        changes = {"models/archive/replicas": len(self.domains), "models/archive/weight_mb": 100,
                   "models/archive/class": "affordability", "classes/affordability/weight": 50,
                   "classes/affordability/shed_order": 90, "services/quotes/repeatable": False}
        for customer, key in KEYS.items():
            changes["customers/%s/key_digest" % customer] = digest(key)
        changes.update(self.settings)
        wait_for(lambda: self.set_many(changes), "the first settings are accepted")

    def stop(self):
        self.stopping.set()
        if self.keeper:
            self.keeper.join()
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        if self.proxy:
            self.proxy.close()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stop()

    # ---- operators

    def rpc_at(self, node, method, params=None, timeout=10, token=ADMIN):
        status, _, body = http("POST", "http://%s/admin" % self.control_http[node],
                               {"jsonrpc": "2.0", "id": 1, "method": method, "params": params or {}},
                               {"Authorization": "Bearer " + token}, timeout)
        if status != 200:
            return {"error": {"message": "unreachable"}}
        return json.loads(body)

    def rpc(self, method, params=None, timeout=10):
        """The result from the control host that leads, or None while there is no leader."""
        for node in self.control_http:
            response = self.rpc_at(node, method, params, timeout)
            if "result" in response:
                return response["result"]
            if response["error"]["message"] not in ("unreachable", "not_leader", "no_quorum"):
                raise AssertionError("%s: %s" % (method, response["error"]))
        return None

    def set_many(self, changes, path=SITE, order=None):
        now = self.rpc("settings.get")
        if now is None:
            return None
        rows = [{"path": path, "key": k, "value": v} for k, v in changes.items()]
        return self.rpc("settings.set", {"order": order or "order-%d" % time.time_ns(),
                                         "base": now["version"], "changes": rows})

    def set(self, key, value, path=SITE):
        """Sets one key, and retries after a conflict with another operator's change."""
        def once():
            try:
                return self.set_many({key: value}, path)
            except AssertionError as error:
                if "conflict" not in str(error):
                    raise
                return None
        return wait_for(once, "setting " + key)

    def leader(self):
        status = self.rpc("status")
        return status["node"] if status else None

    def groups(self):
        return self.rpc("groups.list") or []

    def serving(self):
        return [g for g in self.groups() if g["serving"]]

    def wait_serving(self, count, seconds=40):
        return wait_for(lambda: len(self.serving()) >= count and self.serving(),
                        "%d groups serve; groups: %s" % (count, self.groups()), seconds)

    def spares(self, domain):
        """Hosts of a domain that are free for the repair of a group."""
        return [h["host"] for h in self.rpc("hosts.list") or [] if h["domain"] == domain and
                h["role"] == "engine" and h["group"] == 0 and not h["silent"]]

    def ctl(self, *arguments, check=True):
        env = dict(os.environ, LIFTWEIR_TOKEN=ADMIN,
                   LIFTWEIR_CONTROL=",".join(self.control_http.values()))
        done = subprocess.run([self.binary("liftweirctl")] + list(arguments), env=env,
                              capture_output=True, text=True, timeout=60)
        if check and done.returncode != 0:
            raise AssertionError("liftweirctl %s: %s" % (" ".join(arguments), done.stderr))
        return done

    # ---- callers

    def url(self, entry=1):
        return "http://" + self.entry_http[entry]

    def wait_ready(self):
        for index in self.entry_http:
            wait_for(lambda: http("GET", self.url(index) + "/readyz")[0] == 200,
                     "entry %d is ready" % index)

    def complete(self, prompt, tokens=8, entry=1, stream=True, timeout=60, headers=None,
                 key="key-geology"):
        head = {"Authorization": "Bearer " + key}
        head.update(headers or {})
        return http("POST", self.url(entry) + "/v1/completions",
                    {"model": "archive", "prompt": prompt, "max_tokens": tokens, "stream": stream},
                    head, timeout)

    def save(self, quote, idempotency=None, entry=1, path="/save", timeout=30, key="key-geology"):
        head = {"Authorization": "Bearer " + key}
        if idempotency:
            head["Idempotency-Key"] = idempotency
        return http("POST", self.url(entry) + "/services/quotes" + path, {"id": quote}, head, timeout)

    def wait_models(self, seconds=40):
        """Waits until every entry host serves a completion."""
        for index in self.entry_http:
            wait_for(lambda: self.complete("ready?", 1, index)[0] == 200,
                     "entry %d completes" % index, seconds, 0.1)

    def executions(self):
        """How often each id was saved, over all stand-ins of the service."""
        total = {}
        for name, where in self.services.items():
            _, _, body = http("GET", "http://%s/counts" % where)
            for key, count in json.loads(body or b"{}").items():
                total[key] = total.get(key, 0) + count
        return total


def expected_text(prompt, tokens):
    """The text that the stand-in engine generates for a prompt."""
    start = zlib.crc32(prompt.encode())
    return "".join("w%d " % ((start + 7919 * i) % 100000) for i in range(tokens))


def stream_text(body):
    """The text of a streamed response, and whether it finished."""
    text, finished = "", False
    for line in body.decode().split("\n"):
        if line == "data: [DONE]":
            finished = True
        elif line.startswith("data: {\"choices\"") or line.startswith("data: {\"id\""):
            text += json.loads(line[6:])["choices"][0]["text"]
    return text, finished
