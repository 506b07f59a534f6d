"""Endpoints that reject requests and request a back-off from the entry host that sent them."""
import asyncio

from test_limited import Load, limited_endpoints
from test_site import run_scenario

# Requests sent before the rejection arrived reach the endpoint within IN_FLIGHT_S.
IN_FLIGHT_S, MOST_DURING_BACKOFF = 0.5, 2


def most_during_backoff(fleet):
    """The largest number of requests that an entry host sent to an endpoint during a back-off that
    the endpoint had requested from it."""
    most = 0
    for requested_at, endpoint, request, backoff in fleet.backoffs:
        entry = fleet.entry_of.get(request)
        during = [at for at, other, another in fleet.deliveries
                  if other == endpoint and fleet.entry_of.get(another) == entry
                  and requested_at + IN_FLIGHT_S < at < requested_at + backoff]
        most = max(most, len(during))
    return most


def check_retry_after(fleet):
    """Checks that Retry-After names no time at which all endpoints still back off, and that it
    spreads the refused callers over time."""
    refusals = [(at, after) for at, after in fleet.retry_after if at > fleet.backoffs[0][0]]
    for at, after in refusals:
        earliest = min(start + backoff for start, _, _, backoff in fleet.backoffs
                       if start + backoff > at)
        assert at + after >= earliest - 0.1, "Retry-After ends before any back-off does"
    returns = sorted(at + after for at, after in refusals)
    most = max(sum(1 for other in returns if 0 <= other - at < 0.1) for at in returns)
    assert most <= len(returns) / 2, "%d of %d callers retry within 0.1 s" % (most, len(returns))


def run_backoff(backoff, count, route="look", per_second=60, seconds=6, all_back_off=False,
                 **shape):
    """`count` endpoints request back-off for some seconds. Returns the callers' statuses."""
    statuses = []

    async def scenario(site):
        for entry in range(3):
            assert await site.until(lambda e=entry: site.serves(route, e))
        load = Load(site, route, per_second, (1, 1, 1))
        running = asyncio.ensure_future(load.run(seconds + 5))
        await asyncio.sleep(1)
        endpoints = limited_endpoints(site, route)[:count]
        for endpoint in endpoints:
            endpoint.backoff_s = backoff
        await asyncio.sleep(seconds)
        for endpoint in endpoints:
            endpoint.backoff_s = 0
        await running
        fleet = site.fleet
        assert len(fleet.backoffs) > 0
        most = most_during_backoff(fleet)
        assert most <= MOST_DURING_BACKOFF, "%d requests during a back-off" % most
        served = {endpoint for runs in fleet.runs.values() for at, endpoint in runs
                  if at > fleet.backoffs[-1][0]}
        assert served >= {endpoint.id for endpoint in endpoints}, \
            "an endpoint got no request after its back-off"
        statuses.extend(load.statuses)
        if all_back_off:
            check_retry_after(fleet)

    run_scenario(scenario, entries=3, **shape)
    return statuses


def test_an_entry_host_respects_the_backoff_of_a_plain_endpoint():
    assert set(run_backoff(3, 1, plain=4, endpoints=(2, 2))) == {200}


def test_a_backoff_may_be_a_fraction_of_a_second():
    assert set(run_backoff(2.5, 1, plain=4, endpoints=(2, 2))) == {200}


def test_an_entry_host_respects_the_backoff_of_a_lead():
    assert set(run_backoff(3, 1, route="chat", per_second=40, endpoints=(2, 2, 2))) == {200}


def test_callers_get_a_realistic_retry_after_while_all_endpoints_back_off():
    statuses = run_backoff(3, 2, per_second=40, all_back_off=True, plain=2, endpoints=(2, 2))
    assert set(statuses) == {200, 503}
