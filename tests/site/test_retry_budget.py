"""Entry hosts that restart while endpoints fail keep the retry budget of a service together."""
import asyncio
import bisect
import time

from test_limited import Load
from test_site import run_scenario

WINDOW_S, RATIO, SLACK = 4.0, 0.2, 24
ENTRIES = 3


def set_budget(site):
    for process in site.controls + site.entries:
        process.config.update(retry_window_s=WINDOW_S, retry_ratio=RATIO, retry_slack=SLACK)


def count(times, begin):
    return bisect.bisect_left(times, begin + WINDOW_S) - bisect.bisect_left(times, begin)


def retries_of(fleet, since):
    """Times at which requests sent after `since` arrived again at an endpoint."""
    seen, times = set(), []
    for at, _, request in sorted(fleet.deliveries):
        if fleet.sent.get(request, 0) < since:
            continue
        if request in seen:
            times.append(at)
        seen.add(request)
    return times


def check_budget(fleet, since):
    requests = sorted(at for at in fleet.sent.values() if at >= since)
    retries = retries_of(fleet, since)
    assert len(retries) >= SLACK / 2, "only %d retries" % len(retries)
    for begin in retries:
        most = max(count(requests, begin - before) for before in (0, WINDOW_S / 2, WINDOW_S))
        allowed = RATIO * most + SLACK
        sent = count(retries, begin)
        assert sent <= allowed, "%d retries in a window, %.1f allowed" % (sent, allowed)


async def shares(site):
    return [float(await site.metric(entry, "liftweir_retry_slack_share") or 0)
            for entry in site.entries]


def test_restarts_of_all_entry_hosts_do_not_renew_the_retry_budget():
    async def all_have_shares(site):
        return min(await shares(site)) > 0.2

    async def scenario(site):
        assert await site.until(lambda: all_have_shares(site)), await shares(site)
        assert sum(await shares(site)) <= 1.001
        site.fleet.broken_share = 0.9
        began = time.monotonic()
        load = asyncio.ensure_future(Load(site, "feed", 80, [1] * ENTRIES).run(10))
        for _ in range(4):
            await asyncio.sleep(1.5)
            for entry in site.entries:
                entry.kill()
                entry.start()
        await load
        check_budget(site.fleet, began)

    run_scenario(scenario, prepare=set_budget, entries=ENTRIES, plain=4)
