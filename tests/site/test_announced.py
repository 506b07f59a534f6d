"""Endpoints that announce in their answers that they leave, while their reports reach nobody."""
import asyncio
import time

from sitefleet import DRAIN_S
from test_limited import Load, limited_workers
from test_site import play


def late_requests(site, worker, sent):
    """Requests that their callers sent to an entry host so long after it had passed the word on."""
    late = 0
    for _, worker_id, request in site.fleet.deliveries:
        told = site.fleet.told.get((worker, site.fleet.entry_of.get(request)))
        late += worker_id == worker and told is not None and sent[request] > told + DRAIN_S
    return late


def play_leaving(route, **shape):
    async def scenario(site):
        for entry in range(3):
            assert await site.until(lambda e=entry: site.serves(route, e))
        load = Load(site, route, 40, (1, 1, 1))
        running = asyncio.ensure_future(load.run(7))
        await asyncio.sleep(1)
        worker = limited_workers(site, route)[0]
        worker.words = {"Server-Leaving": "1"}
        await running
        assert any(w == worker.id for w, _ in site.fleet.told)
        late = late_requests(site, worker.id, site.fleet.sent)
        assert late == 0, "%d requests after it had announced that it leaves" % late
        assert set(load.statuses) == {200}
        worker.words = {}
        worker.restart()
        if route == "look":
            before = time.monotonic()
            await load.run(2)
            assert any(at > before and w == worker.id for at, w, _ in site.fleet.deliveries), \
                "its next start is not used"

    play(scenario, entries=3, **shape)


def test_a_plain_endpoint_that_announces_its_leaving_gets_nothing_new():
    play_leaving("look", plain=4, workers=(2, 2))


def test_a_lead_that_announces_its_leaving_gets_nothing_new():
    play_leaving("chat", workers=(2, 2, 2))
