"""Endpoints that name how many requests a second they take from all entry hosts together."""
import asyncio
import random
import time

from test_site import play

CONTACT_S, TOLD_S, WINDOW_S = 3.0, 0.5, 4.0
OVERSHOOT, SLACK = 1.5, 5


def most_in_a_window(times):
    times, most, first = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[first] < at - WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def counted(fleet, worker, since):
    """Times of requests from entry hosts that had passed its word on."""
    times = []
    for at, worker_id, request in fleet.deliveries:
        told = fleet.told.get((worker, fleet.entry_of.get(request)))
        if worker_id == worker and at > since and told is not None and at > told + TOLD_S:
            times.append(at)
    return times


class Load:
    """Callers that come at random, spread over entry hosts by weight."""

    def __init__(self, site, route, per_second, weights, seed=1):
        self.site, self.route, self.per_second, self.weights = site, route, per_second, weights
        self.random, self.asked, self.statuses = random.Random(seed), [], []

    async def ask(self, entry):
        self.statuses.append(await self.site.ask(self.route, entry, timeout=3))

    async def run(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            entry = self.random.choices(range(len(self.weights)), self.weights)[0]
            self.asked.append(asyncio.ensure_future(self.ask(entry)))
            await asyncio.sleep(self.random.expovariate(self.per_second))
        await asyncio.gather(*self.asked)


def check_limit(site, worker, limit, named):
    times = counted(site.fleet, worker.id, named + CONTACT_S)
    most = most_in_a_window(times)
    assert most <= OVERSHOOT * limit * WINDOW_S + SLACK, "%d requests in 4 s" % most
    seconds = time.monotonic() - named - CONTACT_S
    assert len(times) >= limit * seconds / 3, "only %d requests in %.1f s" % (len(times), seconds)


def limited_workers(site, route):
    if route == "look":
        return [w for w in site.workers if w.domain is None]
    return [w for w in site.workers if w.group and w.group["rank"] == 0]


def play_limited(limit, route="look", per_second=60, weights=(1, 1, 1), during=None, **shape):
    """One of several endpoints names a limit; the others serve every caller meanwhile."""
    async def scenario(site):
        for entry in range(len(weights)):
            assert await site.until(lambda e=entry: site.serves(route, e))
        load = Load(site, route, per_second, weights)
        running = asyncio.ensure_future(load.run(14))
        await asyncio.sleep(2)
        worker, named = limited_workers(site, route)[0], time.monotonic()
        worker.words = {"Server-Limit": str(limit)}
        if during:
            await during(site)
        await running
        check_limit(site, worker, limit, named)
        if during is None:
            assert set(load.statuses) == {200}, "a caller was not served"

    play(scenario, entries=len(weights), **shape)


def test_the_limit_of_a_plain_endpoint_holds_for_all_entry_hosts_together():
    play_limited(3.9, plain=4, workers=(2, 2))


def test_the_limit_holds_where_most_callers_are_at_one_entry_host():
    play_limited(2.1, weights=(20, 1, 1, 1, 1, 1), plain=4, workers=(2, 2))


def test_the_limit_of_a_lead_holds_for_its_group():
    play_limited(2.0, route="chat", per_second=30, workers=(2, 2, 2))


def test_the_limit_holds_while_an_entry_host_is_killed_and_started():
    async def restart(site):
        await asyncio.sleep(4)
        site.entries[0].kill()
        site.entries[0].start()

    play_limited(3.0, weights=(1, 1, 1, 1), during=restart, plain=4, workers=(2, 2))
