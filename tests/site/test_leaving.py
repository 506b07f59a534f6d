"""Callers that disconnect before their response is complete: their requests are no longer sent to
an endpoint, and endpoints stop working on them."""
import asyncio
import json
import signal
import time

import http1
from sitefleet import CALLERS
from test_site import run_scenario

# An endpoint stops a request within this time after its caller disconnected.
STOP_LIMIT_S = 0.5


class DisconnectingCaller:
    """A caller on its own connection, which the test closes by disconnect()."""

    def __init__(self, site, route, body=b"body"):
        self.site, self.request = site, "%016x" % site.fleet.random.getrandbits(64)
        self.bytes = http1.head("POST /%s/x HTTP/1.1" % route, {
            "Host": "site.example", "Request-Id": self.request, "Model": "m",
            "Token-Usage": "500,80", "Deadline-Ms": "6000", "Content-Length": str(len(body)),
            "Authorization": "Bearer key-1"}) + body

    async def send(self, more=b""):
        ip = self.site.entry_ip()
        self.reader, self.writer = await asyncio.open_connection(ip, CALLERS)
        self.writer.write(self.bytes + more)
        await self.writer.drain()
        return self

    def disconnect(self):
        self.disconnected_at = time.monotonic()
        self.writer.close()

    def runs(self):
        return len(self.site.fleet.runs.get(self.request, []))

    async def is_run(self):
        return self.runs() > 0

    def call_log(self):
        """The log line that the entry host wrote at the end of the call."""
        with open(self.site.entries[0].log) as log:
            calls = [json.loads(line) for line in log if self.request in line and "took_ms" in line]
        assert len(calls) == 1, calls
        return calls[0]

    async def check_stopped(self):
        stopped = self.site.fleet.stopped
        assert await self.site.until(lambda: asyncio.sleep(0, self.request in stopped), 2), \
            "the endpoint still works on the request"
        assert stopped[self.request] - self.disconnected_at < STOP_LIMIT_S


def test_an_endpoint_stops_work_when_its_caller_disconnects():
    async def scenario(site):
        site.fleet.work_s, site.fleet.event_s = 3.0, 1.0
        for route in ("look", "save", "feed", "chat"):
            caller = await DisconnectingCaller(site, route).send()
            assert await site.until(caller.is_run), route
            caller.disconnect()
            await caller.check_stopped()
            assert caller.runs() == 1
        count, total = [await site.metric(site.entries[0], "liftweir_caller_gone_seconds_" + part)
                        for part in ("count", "sum")]
        assert count == 4 and total < STOP_LIMIT_S

    run_scenario(scenario)


def test_unread_requests_of_disconnected_callers_reach_no_endpoint():
    async def scenario(site):
        for route in ("look", "feed", "chat") * 2:
            assert await site.send_request(route) == 200
        site.entries[0].send(signal.SIGSTOP)
        callers = [await DisconnectingCaller(site, route).send()
                   for route in ("look", "save", "feed", "chat") * 10]
        await asyncio.sleep(0.2)
        for caller in callers:
            caller.disconnect()
        await asyncio.sleep(0.2)
        site.entries[0].send(signal.SIGCONT)
        await asyncio.sleep(1.0)
        assert sum(caller.runs() for caller in callers) == 0
        assert await site.send_request("look") == 200

    run_scenario(scenario)


def test_a_disconnect_behind_much_unread_input_is_noticed():
    async def scenario(site):
        site.fleet.work_s = 3.0
        caller = await DisconnectingCaller(site, "look").send(
            DisconnectingCaller(site, "look", b"x" * 100_000).bytes)
        assert await site.until(caller.is_run)
        caller.disconnect()
        await caller.check_stopped()

    run_scenario(scenario)


def test_a_disconnect_of_a_caller_that_does_not_read_is_noticed():
    async def scenario(site):
        site.fleet.event_s, site.fleet.event_bytes, site.fleet.events = 0.002, 60_000, 5000
        caller = await DisconnectingCaller(site, "feed").send()
        assert await site.until(caller.is_run)
        await asyncio.sleep(1.0)
        caller.disconnect()
        await caller.check_stopped()

    run_scenario(scenario)


def test_a_request_whose_caller_disconnects_while_queued_is_not_sent():
    async def scenario(site):
        await _make_groups_unresponsive(site)
        caller = await DisconnectingCaller(site, "chat").send()
        await asyncio.sleep(0.02)
        caller.disconnect()
        await asyncio.sleep(STOP_LIMIT_S)
        call = caller.call_log()
        assert (call["why"], call["endpoints"]) == ("the caller disconnected", "")

    async def _make_groups_unresponsive(site):
        for endpoint in site.endpoints:
            endpoint.unresponsive = endpoint.domain is not None
        assert await site.until(lambda: _refused(site))

    async def _refused(site):
        return await site.send_request("chat") == 503

    run_scenario(scenario)


def test_a_stream_is_not_resumed_for_a_disconnected_caller():
    async def scenario(site):
        site.fleet.event_s = 0.1
        caller = await DisconnectingCaller(site, "chat").send()
        assert await site.until(caller.is_run)
        await asyncio.sleep(0.3)
        engines = [endpoint for endpoint in site.endpoints if endpoint.domain is not None]
        for endpoint in engines:
            endpoint.unresponsive = True
        await asyncio.sleep(0.6)
        caller.disconnect()
        for endpoint in engines:
            endpoint.unresponsive = False
        assert await site.until(site.serves)
        await asyncio.sleep(STOP_LIMIT_S)
        assert caller.runs() == 1
        assert caller.call_log()["why"] == "the caller disconnected"

    run_scenario(scenario)


def test_a_request_whose_caller_disconnects_before_the_first_settings_is_not_sent():
    async def scenario(site):
        for process in site.entries + site.controls:
            process.kill()
        site.entries[0].start()
        await asyncio.sleep(0.3)
        callers = [await DisconnectingCaller(site, "look").send() for _ in range(5)]
        await asyncio.sleep(0.1)
        for caller in callers:
            caller.disconnect()
        for process in site.controls:
            process.start()
        assert await site.until(lambda: site.serves("look"))
        assert sum(caller.runs() for caller in callers) == 0

    run_scenario(scenario)
