"""A faulty endpoint sends more bytes after a whole answer, which arrive at the place of the next
answer on the connection. Callers get answers to their own requests, or a failure."""
import asyncio

import pytest
from test_site import run_scenario

LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
STRAYS = {
    "without an id": LONG,
    "without a length": b"HTTP/1.1 200 OK\r\n\r\nstray",
    "in chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n",
    "with another id": LONG.replace(b"OK\r\n", b"OK\r\nRequest-Id: 0123456789abcdef\r\n"),
    "as a failure": LONG.replace(b"200 OK", b"500 X"),
    "as not run": LONG.replace(b"200 OK", b"503 X\r\nNot-Executed: 1"),
    "as misdirected": LONG.replace(b"200 OK", b"421 X"),
    "no response": b"stray bytes without any form\r\n\r\n",
}


@pytest.mark.parametrize("what", STRAYS)
def test_bytes_after_an_answer_reach_no_other_caller(what):
    async def scenario(site):
        faulty = next(e for e in site.endpoints if not e.domain)
        faulty.stray = STRAYS[what]
        counts = {}

        async def caller(number):
            for turn in range(40):
                route = ("look", "save", "feed")[turn % 3]
                status = await site.send_request(route, number % 2)
                counts[route, status] = counts.get((route, status), 0) + 1

        await asyncio.gather(*[caller(n) for n in range(4)])
        assert faulty.strays_sent >= 5, "the endpoint was not asked again on kept connections"
        # A repeatable request goes elsewhere. One that may have run is said to have failed.
        assert all(status == 200 for route, status in counts if route == "look"), counts
        assert {status for _, status in counts} <= {200, 502}, counts

    run_scenario(scenario, plain=3, endpoints=(2,))
