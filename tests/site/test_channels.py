"""A load balancer that hands most new connections to one entry host."""
import asyncio
import time

from test_site import run_scenario

CONTACT_S = 3.0   # after this time the entry host serves all of them
SERVED_PART = 0.75  # of the requests that were served at their first attempt before
CALLERS = 12


async def callers(site, entry_of, seconds, interval_s):
    """Callers that open a connection for each request. `entry_of` chooses the entry host by the
    number of the request. Returns the time and the status of each request."""
    until, outcomes = time.monotonic() + seconds, []

    async def ask(number):
        while time.monotonic() < until:
            number += CALLERS
            sent = time.monotonic()
            route = ("chat", "chat", "look", "save")[number % 4]
            outcomes.append((sent, await site.send_request(route, entry_of(number), timeout=3)))
            await asyncio.sleep(interval_s)

    await asyncio.gather(*(ask(number) for number in range(CALLERS)))
    return outcomes


def served_share(outcomes, since=0.0):
    statuses = [status for sent, status in outcomes if sent >= since]
    return statuses.count(200) / len(statuses)


def test_new_connections_that_all_go_to_one_entry_host_are_served():
    async def scenario(site):
        before = served_share(await callers(site, lambda n: n % len(site.entries), 5, 0.1))
        assert before > 0.9
        for entry in range(2):
            began = time.monotonic()
            outcomes = await callers(site, lambda _, one=entry: one, 7, 0.05)
            assert served_share(outcomes, began + CONTACT_S) > SERVED_PART * before

    run_scenario(scenario, entries=4, endpoints=(4, 4), plain=2)
