"""Whole answers with neither a length nor chunks, which end with the endpoint's connection."""
import asyncio

from test_site import run_scenario

CALLERS, ROUNDS = 4, 10


async def ask_all(site, routes):
    """The statuses of the answers to requests on each of the routes."""
    async def ask(number):
        return [await site.send_request(routes[turn % len(routes)], (number + turn) % 2)
                for turn in range(ROUNDS)]

    return sum(await asyncio.gather(*(ask(number) for number in range(CALLERS))), [])


def test_an_answer_that_ends_with_its_connection_is_forwarded_whole():
    async def scenario(site):
        site.fleet.unframed_answers = True
        assert set(await ask_all(site, ("look", "save"))) == {200}

    run_scenario(scenario, plain=3)


def test_an_answer_whose_connection_is_reset_never_reaches_its_caller_as_complete():
    async def scenario(site):
        site.fleet.unframed_answers, site.fleet.reset_share = True, 0.4
        saved = await ask_all(site, ("save",))
        assert len(site.fleet.reset_answers) > 0
        assert len(saved) - saved.count(200) == len(site.fleet.reset_answers)
        assert 503 not in saved, "a call that ran was reported as not run"
        looked_up = await ask_all(site, ("look",))
        assert looked_up.count(200) > 0.6 * len(looked_up), "safe calls were not repeated"

    run_scenario(scenario, plain=3)
