"""Streams that endpoints break off inside an event while the HTTP message looks complete."""
import asyncio
import collections

from test_site import run_scenario

CALLERS, STREAMS = 5, 16


def test_a_stream_broken_off_inside_an_event_never_reaches_its_caller_as_complete():
    async def scenario(site):
        site.fleet.event_s = 0.005
        site.fleet.unframed_share, site.fleet.broken_share = 0.5, 0.2

        async def ask(number):
            return [await site.send_request("chat", (number + turn) % 2) for turn in range(STREAMS)]

        answers = sum(await asyncio.gather(*(ask(number) for number in range(CALLERS))), [])
        broken = collections.Counter(request for request, _ in site.fleet.broken_streams)
        broken_at_each_attempt = sum(1 for times in broken.values() if times > 1)
        assert {chunked for _, chunked in site.fleet.broken_streams} == {True, False}
        assert answers.count(0) == broken_at_each_attempt
        assert answers.count(200) > len(answers) * 0.8, "streams were not resumed elsewhere"

    run_scenario(scenario)
