"""Endpoints report every 5 s. After a loss of power of all hosts of the system, the control hosts have
heard of few endpoints for some seconds. What they had stored before must last until then."""
import asyncio

from test_site import run_scenario

HEARTBEAT_S = 5.0
# A registry that is taken for complete this long after a start, before most endpoints have reported,
# would replace the stored endpoints.
EARLY_S = 4.0


def restart_all(site):
    for process in site.controls + site.entries:
        process.kill()
    for process in site.controls + site.entries:
        process.start()


def test_endpoints_stored_before_two_losses_of_power_are_used_at_once():
    async def scenario(site):
        for route in ("chat", "look"):
            assert await site.until(lambda r=route: site.serves(r))
        # The stored endpoints are complete once all have reported.
        await asyncio.sleep(3 * HEARTBEAT_S)
        for endpoint in site.endpoints:
            for task in endpoint.tasks:
                task.cancel()  # the next reports come only after the second loss
        for _ in range(2):
            restart_all(site)
            for route in ("chat", "look"):
                assert await site.until(lambda r=route: site.serves(r), 3), route + " not served"
            await asyncio.sleep(EARLY_S)

    run_scenario(scenario, heartbeat_s=HEARTBEAT_S, endpoints=(4, 4), plain=2)
