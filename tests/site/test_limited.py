"""Endpoints that announce a limit of requests per second for all entry hosts together."""
import asyncio
import random
import time

from test_site import run_scenario

# All entry hosts know a limit after SPREAD_S, and requests that were sent before an entry host knew
# it have arrived after IN_FLIGHT_S. In a window of WINDOW_S at most OVERSHOOT times the limit, plus
# SLACK requests, may arrive.
SPREAD_S, IN_FLIGHT_S, WINDOW_S = 3.0, 0.5, 4.0
OVERSHOOT, SLACK = 1.5, 5


def most_in_one_window(times):
    times, most, oldest = sorted(times), 0, 0
    for last, at in enumerate(times):
        while times[oldest] < at - WINDOW_S:
            oldest += 1
        most = max(most, last - oldest + 1)
    return most


def counted_requests(fleet, endpoint, since):
    """Times of the requests to `endpoint` after `since`, from entry hosts that had received its
    header at least IN_FLIGHT_S before."""
    times = []
    for at, endpoint_id, request in fleet.deliveries:
        header_at = fleet.header_at.get((endpoint, fleet.entry_of.get(request)))
        if endpoint_id == endpoint and at > since and header_at is not None and \
                at > header_at + IN_FLIGHT_S:
            times.append(at)
    return times


class Load:
    """Requests at random intervals, spread over the entry hosts by weight."""

    def __init__(self, site, route, per_second, weights, seed=1):
        self.site, self.route, self.per_second, self.weights = site, route, per_second, weights
        self.random, self.tasks, self.statuses = random.Random(seed), [], []

    async def send_request(self, entry):
        self.statuses.append(await self.site.send_request(self.route, entry, timeout=3))

    async def run(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            entry = self.random.choices(range(len(self.weights)), self.weights)[0]
            self.tasks.append(asyncio.ensure_future(self.send_request(entry)))
            await asyncio.sleep(self.random.expovariate(self.per_second))
        await asyncio.gather(*self.tasks)


def check_limit(site, endpoint, limit, announced_at):
    times = counted_requests(site.fleet, endpoint.id, announced_at + SPREAD_S)
    most = most_in_one_window(times)
    assert most <= OVERSHOOT * limit * WINDOW_S + SLACK, "%d requests in one window of 4 s" % most
    seconds = time.monotonic() - announced_at - SPREAD_S
    assert len(times) >= limit * seconds / 3, "only %d requests in %.1f s" % (len(times), seconds)


def limited_endpoints(site, route):
    if route == "look":
        return [w for w in site.endpoints if w.domain is None]
    return [w for w in site.endpoints if w.group and w.group["rank"] == 0]


def run_limited(limit, route="look", per_second=60, weights=(1, 1, 1), during=None, **shape):
    """One of several endpoints announces a limit, which must hold. The others have room for all
    other requests, so that every caller is served."""
    async def scenario(site):
        for entry in range(len(weights)):
            assert await site.until(lambda e=entry: site.serves(route, e))
        load = Load(site, route, per_second, weights)
        running = asyncio.ensure_future(load.run(14))
        await asyncio.sleep(2)
        endpoint, announced_at = limited_endpoints(site, route)[0], time.monotonic()
        endpoint.added_headers = {"Server-Limit": str(limit)}
        if during:
            await during(site)
        await running
        check_limit(site, endpoint, limit, announced_at)
        if during is None:
            assert set(load.statuses) == {200}, "some callers were not served"

    run_scenario(scenario, entries=len(weights), **shape)


def test_the_limit_of_a_plain_endpoint_holds_for_all_entry_hosts_together():
    run_limited(3.9, plain=4, endpoints=(2, 2))


def test_the_limit_holds_where_most_callers_are_at_one_entry_host():
    run_limited(2.1, weights=(20, 1, 1, 1, 1, 1), plain=4, endpoints=(2, 2))


def test_the_limit_of_a_lead_holds_for_its_group():
    run_limited(2.0, route="chat", per_second=30, endpoints=(2, 2, 2))


def test_the_limit_holds_while_an_entry_host_is_killed_and_started():
    async def restart(site):
        await asyncio.sleep(4)
        site.entries[0].kill()
        site.entries[0].start()

    run_limited(3.0, weights=(1, 1, 1, 1), during=restart, plain=4, endpoints=(2, 2))
