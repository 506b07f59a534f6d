"""Stand-ins of the users' workers: they register, take fenced orders, form groups and run requests.
They keep the rules of a fleet while it runs: what breaks one goes into `Fleet.broken`."""
import asyncio
import json
import random
import time

import http1

BEAT_S, STALL_S, LOAD_S, WARM_S, FORM_S, EVENT_S, WORK_S = 0.3, 2.0, 0.4, 0.1, 0.1, 0.02, 0.01
EVENTS = 12
BACK_S = 1.5  # until a worker that a poisonous request has ended is back


class Fleet:
    """What all stand-ins share, and what is to hold between them."""

    def __init__(self, seed=1, net=0):
        self.random = random.Random(seed)
        self.net = net      # sites side by side use networks of their own
        self.workers = {}
        self.controls = []  # addresses that take registrations
        self.runs = {}      # request id -> list of (time, worker id)
        self.signatures = {}  # signature -> body that the worker sent whole
        self.keys = {}      # request id -> tenant that a worker saw
        self.event_s = EVENT_S  # between two events of a stream
        self.events, self.event_bytes = EVENTS, 0  # of a stream; bytes beside its words
        self.work_s = WORK_S  # that a plain call takes
        self.stopped = {}   # request id -> when a worker saw that its connection had ended
        self.leaving = {}   # worker id -> when its leaving was acknowledged
        self.poison = None  # a body that ends whoever begins to run it
        self.poison_read_s = 0.04  # until it does
        self.poison_runs = []  # when it reached a worker
        self.has_start_time = True  # workers say when they began; else they come back under their names
        self.broken_off = None  # a body whose connection breaks, though its worker goes on
        self.ended = []     # when a worker was ended by it
        self.arrivals = []  # (time, worker id) of requests
        self.deliveries = []  # (time, worker id, request id), refused ones included
        self.rests = []     # (time, worker id, request id, seconds) of requests turned away
        self.retry_after = []  # (time, seconds) told to callers that were refused
        self.told = {}      # (worker id, entry host) -> when a word of its answers first went there
        self.sent = {}      # request id -> when its caller sent it
        self.entry_of = {}  # request id -> number of the entry host that was asked
        self.broken = []

    def break_rule(self, rule, what):
        self.broken.append("%s: %s" % (rule, what))


class Worker:
    def __init__(self, fleet, number, service, domain=None):
        self.fleet, self.service, self.domain = fleet, service, domain
        self.id = "i-%08x" % fleet.random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.address = "127.%d.3.%d:8080" % (fleet.net, number)
        self.state, self.sequence, self.orders, self.fence = "ready", 0, 0, 0
        self.staged, self.warm = [], None
        self.group = None  # dict: name, epoch, rank, state, members, model
        self.ready_under = set()
        self.dark = False      # takes nothing and says nothing
        self.delay_orders = 0  # seconds by which orders are carried out late, unanswered
        self.tasks = []
        self.writers = set()  # of its connections
        self.words = {}  # headers that it adds to its answers to requests
        self.rest_s = 0  # it turns all requests away, and asks for so much rest
        fleet.workers[self.id] = self

    async def start(self):
        self.server = await http1.serve(self.address, self.handle)
        self.tasks.append(asyncio.ensure_future(self.beat()))

    def stop(self):
        self.dark = True
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def restart(self, under_its_name=False):
        """A new life at the same address; what lay on the disk is still there."""
        del self.fleet.workers[self.id]
        if not under_its_name:
            self.id = "i-%08x" % self.fleet.random.getrandbits(32)
        self.born = max(self.born + 1, int(time.time() * 1000))
        self.fleet.workers[self.id] = self
        self.state, self.sequence, self.orders, self.fence = "ready", 0, 0, 0
        self.group, self.warm, self.dark = None, None, False
        if not under_its_name:
            self.ready_under = set()  # kept otherwise: a member that was ready and is lost excuses

    def crash(self, seconds):
        """Ends with all that it has under way, and starts again after so long: under a new name, or
        under its own where workers do not tell their starts."""
        self.dark = True
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()
        self.soon(self.start_again(seconds))

    async def start_again(self, seconds):
        await asyncio.sleep(seconds)
        self.restart(under_its_name=not self.fleet.has_start_time)
        self.server = await http1.serve(self.address, self.handle)

    # ---- registration

    async def beat(self):
        while True:
            if not self.dark:
                await self.report()
            await asyncio.sleep(BEAT_S)

    def own_word(self):
        """What every report holds."""
        word = {"service": self.service, "address": self.address, "zone": "z1", "slots": 48,
                "version": "v1", "cold-remaining-ms": 0, "state": self.state,
                "sequence": self.sequence}
        return {**word, "born": self.born} if self.fleet.has_start_time else word

    async def report(self):
        self.sequence += 1
        body = self.own_word()
        if self.domain:
            body.update(domain=self.domain, staged=self.staged, models=[])
            if self.group:
                body["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        draining = self.state == "draining"
        for address in self.fleet.random.sample(self.fleet.controls, len(self.fleet.controls)):
            try:
                status, _, _ = await http1.call(address, "POST", "/Instances.Heartbeat/" + self.id,
                                                body=json.dumps(body).encode(), timeout=1.0)
            except http1.Broken:
                continue
            if status == 200:
                if draining:
                    self.fleet.leaving.setdefault(self.id, time.monotonic())
                return True
        return False

    # ---- orders

    async def handle(self, method, path, headers, body, writer):
        if self.dark:
            await asyncio.sleep(3600)
        self.writers = {w for w in self.writers if not w.transport.is_closing()} | {writer}
        if headers.get("target-instance", self.id) != self.id:
            return self.answer(writer, 421, {"Instance-Id": self.id})
        if path == "/report":
            state = {"born": self.born, "sequence": self.orders}
            if self.group:
                state["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
            return self.answer(writer, 200, {}, json.dumps(state).encode())
        if path == "/order":
            order = json.loads(body)
            if self.delay_orders:
                asyncio.get_running_loop().call_later(self.delay_orders, self.take, order)
                await asyncio.sleep(3600)
            return self.answer(writer, self.take(order))
        await self.request(method, path, headers, body, writer)

    def answer(self, writer, status, headers=None, body=b""):
        writer.write(http1.head("HTTP/1.1 %d X" % status,
                                {"Content-Length": str(len(body)), **(headers or {})}) + body)

    def take(self, order):
        if order["fence"] < self.fence:
            return 412
        self.fence = order["fence"]
        if order.get("expected-revision", self.orders) != self.orders:
            return 409
        status = self.carry_out(order)
        self.orders += status == 202
        return status

    def carry_out(self, order):
        op, same = order["op"], self.group and self.group["epoch"] == order.get("epoch")
        if op == "join":
            return self.join(order)
        if op == "stage":
            self.later(LOAD_S, lambda: self.hold(order["model"]))
        elif not same:
            return 409
        elif op == "open":
            if self.group["state"] != "ready":
                return 409 if self.group["state"] != "open" else 200
            self.later(FORM_S, lambda g=self.group: self.change(g, "open"))
        elif op == "close":
            self.change(self.group, "ready")
        elif op == "leave":
            self.group = None
            self.soon(self.report())
        return 202

    def hold(self, model):
        self.staged = [model]
        self.soon(self.report())

    def join(self, order):
        if self.group:
            if order["epoch"] < self.group["epoch"]:
                return 412
            lead = self.fleet.workers.get(self.group["members"][0])
            held = lead and lead.group and lead.group["epoch"] == self.group["epoch"]
            if held and not lead.dark and lead.group["state"] in ("open", "closing"):
                self.fleet.break_rule("two groups", "%s joins %s" % (self.id, order["group"]))
        takes = WARM_S if order["model"] in self.staged else LOAD_S
        self.group = {"name": order["group"], "epoch": order["epoch"], "model": order["model"],
                      "rank": order["members"].index(self.id), "state": "joining",
                      "members": order["members"]}
        group = self.group
        self.soon(self.report())
        self.later(takes, lambda: self.ready(group))
        return 202

    def ready(self, group):
        if group is self.group:
            self.staged = [group["model"]]
            self.ready_under.add((group["epoch"], tuple(group["members"])))
            self.change(group, "ready")

    def change(self, group, state):
        if group is self.group and not self.dark:
            group["state"] = state
            self.soon(self.report())

    def later(self, seconds, what):
        asyncio.get_running_loop().call_later(seconds, lambda: None if self.dark else what())

    def soon(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    # ---- requests

    def whole(self):
        """Every other member holds its part, under the same epoch."""
        members = [self.fleet.workers.get(m) for m in self.group["members"]]
        return all(m and not m.dark and m.group and m.group["epoch"] == self.group["epoch"]
                   for m in members)

    async def request(self, method, path, headers, body, writer):
        request = headers.get("request-id", "")
        self.fleet.arrivals.append((time.monotonic(), self.id))
        self.fleet.deliveries.append((time.monotonic(), self.id, request))
        if self.words:
            self.fleet.told.setdefault((self.id, self.fleet.entry_of.get(request)), time.monotonic())
        if self.domain:
            if not self.group or self.group["rank"] != 0:
                return self.answer(writer, 421, {"Instance-Id": self.id})
            if self.group["state"] != "open":
                return self.answer(writer, 503, {"Not-Executed": "1"})
            known = tuple(self.group["members"])
            for member in known:
                other = self.fleet.workers.get(member)
                if other and (self.group["epoch"], known) not in other.ready_under:
                    self.fleet.break_rule("partial group", "%s was never ready" % member)
        if self.rest_s:
            self.fleet.rests.append((time.monotonic(), self.id, request, self.rest_s))
            return self.answer(writer, 503, {"Not-Executed": "1", "Retry-After": str(self.rest_s)})
        self.fleet.runs.setdefault(request, []).append((time.monotonic(), self.id))
        self.fleet.keys[request] = headers.get("tenant-id")
        if self.fleet.poison is not None and body == self.fleet.poison:
            await self.run_poison(request, writer)
        if self.fleet.broken_off is not None and body == self.fleet.broken_off:
            writer.transport.abort()
            raise EOFError
        signature = "%s.%s.%d" % (self.id, request, len(self.fleet.runs[request]))
        own = {"Request-Id": request, "Response-Signature": signature, **self.words}
        if path.startswith("/feed/"):
            return await self.stream(int(headers.get("last-event-id", "0")), own, writer)
        if not self.domain:
            answer = b"done:" + request.encode()
            await self.work(request, self.fleet.work_s, writer)
            self.fleet.signatures[signature] = answer
            return self.answer(writer, 200, own, answer)
        await self.stream(int(headers.get("last-event-id", "0")), own, writer)

    async def run_poison(self, request, writer):
        """Its prompt is read for a moment; its first token ends the worker."""
        self.fleet.poison_runs.append(time.monotonic())
        await self.work(request, self.fleet.poison_read_s, writer)
        if not self.dark:
            self.fleet.ended.append(time.monotonic())
            self.crash(BACK_S)
        raise EOFError

    async def work(self, request, seconds, writer):
        """Works until its connection is gone. One that is only half closed may still be read."""
        end = time.monotonic() + seconds
        while (left := end - time.monotonic()) > 0:
            await asyncio.sleep(min(left, WORK_S))
            if writer.transport.is_closing():
                self.fleet.stopped[request] = time.monotonic()
                raise EOFError

    async def drain(self, request, writer):
        try:
            await writer.drain()
        except OSError:
            self.fleet.stopped[request] = time.monotonic()
            raise

    async def stream(self, after, own, writer):
        group, still_since = self.group, None
        writer.write(http1.head("HTTP/1.1 200 OK", {
            **own, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        number = after
        while number < self.fleet.events:
            await self.work(own["Request-Id"], self.fleet.event_s, writer)
            if self.dark:
                await asyncio.sleep(3600)
            if group is not self.group:
                raise EOFError
            if group and not self.whole():
                still_since = still_since or time.monotonic()
                if time.monotonic() - still_since > STALL_S:
                    self.change(group, "broken")
                    raise EOFError
                continue
            number += 1
            event = b"id: %d\ndata: word%s\n\n" % (number, b"." * self.fleet.event_bytes)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await self.drain(own["Request-Id"], writer)
        writer.write(b"0\r\n\r\n")


class ForeignWriter:
    """Writes reports that no worker would, at an address where nobody should call."""

    STRANGE = [{"state": None}, {"state": "asleep"}, {"state": 3}, {"slots": None},
               {"slots": "many"}, {"sequence": None}, {"sequence": "first"}, {"sequence": -1},
               {"born": "today"}, {"born": 1.5}, {"zone": None}, {"zone": ["z1"]}, {"service": 7},
               {"service": "nobodys"}, {"address": "somewhere"}, {"group": "m.1"}, {"version": None},
               {"staged": "m"}, {"cold-remaining-ms": "none"}]

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.address = "127.%d.3.%d:8080" % (fleet.net, number)

    async def start(self):
        self.server = await http1.serve(self.address, self.handle)

    def stop(self):
        self.server.close()

    async def handle(self, method, path, headers, body, writer):
        if "request-id" in headers:
            self.fleet.break_rule("foreign", "%s was called" % headers.get("target-instance"))
        writer.write(http1.head("HTTP/1.1 421 X", {"Content-Length": "0"}))

    def bodies(self, worker):
        """Reports of a kind that a worker writes, each strange in one field."""
        for change in self.STRANGE:
            body = {**worker.own_word(), "address": self.address, "sequence": 5, **change}
            yield json.dumps({k: v for k, v in body.items() if v is not None}).encode()
        yield b'{"service": "app", "addr'

    async def write(self, name, body):
        """Sends one report; says whether a control host took it."""
        address = self.fleet.random.choice(self.fleet.controls)
        try:
            status, _, _ = await http1.call(address, "POST", "/Instances.Heartbeat/" + name,
                                            body=body, timeout=1.0)
        except http1.Broken:
            return False
        return status == 200
