"""Endpoints that announce by a response header, and not in their reports, that they drain."""
import asyncio
import time

from sitefleet import DRAIN_S
from test_limited import Load, limited_endpoints
from test_site import run_scenario


def late_requests(site, endpoint, sent):
    """Counts the requests to `endpoint` that callers sent more than DRAIN_S after their entry host
    first received its header."""
    late = 0
    for _, endpoint_id, request in site.fleet.deliveries:
        header_at = site.fleet.header_at.get((endpoint, site.fleet.entry_of.get(request)))
        late += endpoint_id == endpoint and header_at is not None and \
            sent[request] > header_at + DRAIN_S
    return late


def run_leaving(route, **shape):
    async def scenario(site):
        for entry in range(3):
            assert await site.until(lambda e=entry: site.serves(route, e))
        load = Load(site, route, 40, (1, 1, 1))
        running = asyncio.ensure_future(load.run(7))
        await asyncio.sleep(1)
        endpoint = limited_endpoints(site, route)[0]
        endpoint.added_headers = {"Server-Leaving": "1"}
        await running
        assert any(w == endpoint.id for w, _ in site.fleet.header_at)
        late = late_requests(site, endpoint.id, site.fleet.sent)
        assert late == 0, "%d requests after the endpoint announced its drain" % late
        assert set(load.statuses) == {200}
        endpoint.added_headers = {}
        endpoint.restart()
        if route == "look":
            before = time.monotonic()
            await load.run(2)
            assert any(at > before and w == endpoint.id for at, w, _ in site.fleet.deliveries), \
                "no request reached the restarted endpoint"

    run_scenario(scenario, entries=3, **shape)


def test_a_plain_endpoint_that_announces_its_drain_gets_no_new_requests():
    run_leaving("look", plain=4, endpoints=(2, 2))


def test_a_lead_that_announces_its_drain_gets_no_new_requests():
    run_leaving("chat", endpoints=(2, 2, 2))
