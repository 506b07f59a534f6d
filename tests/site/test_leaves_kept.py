"""A leave that was acknowledged holds after the loss of all control and entry hosts at once, also
where the endpoint serves on and one of its earlier reports arrives late."""
import asyncio
import json
import time

import http1
import pytest
from sitefleet import DRAIN_S
from test_site import run_scenario

CONTACT_S = 3.0    # a host is in touch this long after the start of all processes
SETTLED_S = 6.0    # control hosts have heard of all endpoints and have written their caches
DOWN_S = 0.4
CALLERS = 6


class Leave:
    """One endpoint that leaves but serves on, and what its earlier report said."""

    def __init__(self, site, endpoint, deregisters):
        self.site, self.endpoint, self.deregisters = site, endpoint, deregisters
        self.acked = None
        endpoint.sequence += 1
        self.late = endpoint.base_report()
        if endpoint.domain:
            group = {k: endpoint.group[k] for k in ("name", "epoch", "rank", "state")}
            self.late.update(domain=endpoint.domain, staged=endpoint.staged, models=[], group=group)

    async def call(self, path, body, control):
        try:
            status, _, _ = await http1.call(self.site.fleet.controls[control], "POST",
                                            path + self.endpoint.id, timeout=1.0,
                                            body=json.dumps(body).encode())
        except http1.IncompleteResponse:
            return False
        return status == 200

    async def send(self, control=0):
        """Sends the leave to one control host. Returns whether it was acknowledged."""
        if self.deregisters:
            self.endpoint.fleet.heartbeats_off.add(self.endpoint.id)
            acked = await self.call("/Instances.Deregister/", {"born": self.endpoint.born}, control)
        else:
            self.endpoint.state = "draining"
            self.endpoint.sequence += 1
            body = {**self.late, "state": "draining", "sequence": self.endpoint.sequence}
            acked = await self.call("/Instances.Heartbeat/", body, control)
        self.acked = time.monotonic() if acked else None
        return acked

    async def send_late_report(self, control):
        await self.call("/Instances.Heartbeat/", self.late, control)

    def late_arrivals(self, in_touch):
        """Ages of the requests that reached the endpoint although it has left."""
        since = max(self.acked + DRAIN_S, in_touch)
        return ["%.2f" % (at - self.acked) for at, name, request in self.site.fleet.deliveries
                if name == self.endpoint.id and at > since and
                self.site.fleet.sent[request] > in_touch]


async def load(site, stop, statuses):
    turn = 0
    while not stop.is_set():
        turn += 1
        status = await site.send_request(("look", "save", "chat")[turn % 3],
                                         turn % len(site.entries), timeout=2.0)
        statuses[status] = statuses.get(status, 0) + 1
        await asyncio.sleep(0.02)


async def lose_all(site, wiped=()):
    """Kills all processes and starts them again. Returns when all are in touch."""
    for process in site.controls + site.entries:
        process.kill()
    await asyncio.sleep(DOWN_S)
    for process in wiped:
        site.lose_disk(process)
    for process in site.controls + site.entries:
        process.start()
    return time.monotonic() + CONTACT_S


def leads(site):
    return [e for e in site.endpoints if e.group and e.group["rank"] == 0 and
            e.group["state"] == "open"]


def plain(site):
    return [e for e in site.endpoints if not e.domain]


async def check_kept(site, leaves, in_touch, seconds=3.0):
    """Sends requests until well after all hosts are in touch; none may reach those that left."""
    stop, statuses = asyncio.Event(), {}
    running = [asyncio.ensure_future(load(site, stop, statuses)) for _ in range(CALLERS)]
    await asyncio.sleep(max(0.0, in_touch - CONTACT_S + 0.8 - time.monotonic()))
    for n, leave in enumerate(leaves):
        await leave.send_late_report(n % len(site.controls))
    await asyncio.sleep(max(0.0, in_touch + seconds - time.monotonic()))
    stop.set()
    await asyncio.gather(*running)
    assert statuses.get(200, 0) > 100, statuses
    late = {leave.endpoint.id: leave.late_arrivals(in_touch) for leave in leaves if leave.acked}
    assert not any(late.values()), "requests after the leave: %s" % late


@pytest.mark.parametrize("wipe", [False, True])
def test_acknowledged_leaves_outlive_the_loss_of_all_processes(wipe):
    async def scenario(site):
        await asyncio.sleep(SETTLED_S)
        chosen = leads(site)[:2] + plain(site)[:2]
        leaves = [Leave(site, e, deregisters=n % 2 == 1) for n, e in enumerate(chosen)]
        for n, leave in enumerate(leaves):
            assert await leave.send(n % 3)
        in_touch = await lose_all(site, site.controls[:1] if wipe else ())
        await check_kept(site, leaves, in_touch)

    run_scenario(scenario, plain=4, endpoints=(4, 4))


@pytest.mark.parametrize("deregisters", [False, True])
def test_a_leave_is_kept_or_not_acknowledged_whenever_the_kill_comes(deregisters):
    async def scenario(site):
        await asyncio.sleep(SETTLED_S)
        leaves, acked = [], 0
        for n, delay_s in enumerate((0.001, 0.004, 0.015)):
            leave = Leave(site, plain(site)[n], deregisters)
            leaves.append(leave)
            sent = asyncio.ensure_future(leave.send(n))
            await asyncio.sleep(delay_s)
            in_touch = await lose_all(site)
            acked += await sent
            assert await site.until(lambda: site.serves("look"), 8)
        await check_kept(site, leaves, in_touch)

    run_scenario(scenario, plain=6, endpoints=(2,))


def test_a_leave_outlives_the_leader_that_recorded_it():
    async def scenario(site):
        await asyncio.sleep(SETTLED_S)
        leaves = [Leave(site, e, deregisters=True) for e in plain(site)[:3]]
        for n, leave in enumerate(leaves):
            assert await leave.send(n)
        for process in site.controls:
            if await site.metric(process, "liftweir_leads"):
                process.kill()
                leader = process
        in_touch = time.monotonic() + CONTACT_S + 1.0
        await asyncio.sleep(1.0)
        leader.start()
        await check_kept(site, leaves, in_touch)

    run_scenario(scenario, plain=5, endpoints=(2,))


def test_an_endpoint_that_starts_again_at_its_address_serves_after_the_loss_of_all_processes():
    async def scenario(site):
        await asyncio.sleep(SETTLED_S)
        again = plain(site)[:2]
        for n, endpoint in enumerate(again):
            leave = Leave(site, endpoint, deregisters=n == 1)
            assert await leave.send(n)
        await lose_all(site)
        await asyncio.sleep(1.0)
        for n, endpoint in enumerate(again):
            endpoint.fleet.heartbeats_off.discard(endpoint.id)
            endpoint.restart(under_same_id=n == 0)
            await endpoint.report()
        began = time.monotonic()

        async def all_serve():
            await asyncio.gather(*[site.send_request("look", n % 2) for n in range(8)])
            return {e.id for e in again} <= {
                name for at, name, _ in site.fleet.deliveries if at > began}

        assert await site.until(all_serve, 6)

    run_scenario(scenario, plain=3, endpoints=(2,))
