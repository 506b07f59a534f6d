"""Operators take an availability zone out of use and back into use. The stand-ins record a violation
for each request that reaches the zone's endpoints later than EVACUATE_S after the acknowledgement."""
import asyncio
import json
import os
import subprocess
import time

from standin import EVACUATE_S
from test_limited import Load
from test_site import run_scenario

BUILD = os.environ.get("LIFTWEIR_BUILD", "build/release")
SHAPE = {"endpoints": (4, 4, 4), "plain": 3, "zones": ("z1", "z2", "z3"), "entries": 2}


async def all_serve(site):
    for entry in range(len(site.entries)):
        for route in ("chat", "look"):
            assert await site.until(lambda r=route, e=entry: site.serves(r, e))


def requests_to(site, zone, since):
    ids = {e.id for e in site.endpoints if e.zone == zone}
    return sum(1 for at, endpoint, _ in site.fleet.deliveries if at > since and endpoint in ids)


def test_a_zone_out_of_use_gets_no_requests_until_it_is_back():
    async def scenario(site):
        await all_serve(site)
        assert await site.set_zone_use("z2", False) == 200
        assert await site.set_zone_use("z2", False) == 200
        loads = [Load(site, route, 30, (1, 1)) for route in ("chat", "look")]
        await asyncio.gather(*(load.run(EVACUATE_S + 3) for load in loads))
        assert all(set(load.statuses) == {200} for load in loads)
        assert await site.metric(site.entries[0], "liftweir_zones_out_of_use") == 1
        assert await site.metric(site.controls[0], "liftweir_zones_out_of_use") == 1
        listed = subprocess.run(
            [os.path.join(BUILD, "liftweirctl"), "--json", "--control",
             ",".join(p.config["metrics"] for p in site.controls), "zones"],
            stdout=subprocess.PIPE, check=True)
        assert [row["out_of_use"] for row in json.loads(listed.stdout)] == [["z2"]] * 3
        assert await site.set_zone_use("z2", True) == 200
        back_at = time.monotonic()
        await Load(site, "look", 60, (1, 1)).run(4)
        assert requests_to(site, "z2", back_at) > 0, "no request reached the zone after its return"

    run_scenario(scenario, **SHAPE)


def test_an_unknown_zone_is_refused():
    async def scenario(site):
        assert await site.set_zone_use("z9", False) == 404
        assert await site.set_zone_use("", False) == 404
        assert await site.set_zone_use("z1", True) == 200

    run_scenario(scenario, **SHAPE)


# A control host that lags, or an entry host that has just started, must not route to the zone.
def test_a_zone_stays_out_of_use_over_restarts_and_a_lost_disk():
    async def scenario(site):
        await all_serve(site)
        assert await site.set_zone_use("z3", False) == 200
        await asyncio.sleep(EVACUATE_S)
        for process in site.controls:
            process.kill()
        for process in site.controls:
            process.start()
        site.entries[0].kill()
        site.entries[0].start()
        site.controls[1].kill()
        site.lose_disk(site.controls[1])
        site.controls[1].start()
        await all_serve(site)
        await asyncio.gather(*(Load(site, route, 30, (1, 1)).run(3) for route in ("chat", "look")))
        assert await site.put_document()
        await Load(site, "look", 30, (1, 1)).run(1)

    run_scenario(scenario, **SHAPE)
