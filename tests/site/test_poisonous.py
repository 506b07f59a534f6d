"""A request that crashes each endpoint that runs it, and that its caller keeps retrying."""
import asyncio
import time

from test_site import run_scenario

POISON = b"ends whoever runs it"
SPREAD_S = 3.0     # within this time all entry hosts learn of the crashes
LATE_RUNS_MAX = 3  # further runs that may still follow after that


def late_runs(fleet):
    """Runs of the poisonous request more than SPREAD_S after it crashed the third endpoint."""
    if len(fleet.crashes) < 3:
        return []
    return [at for at in fleet.poison_runs if at > fleet.crashes[2] + SPREAD_S]


async def send_poison(site, seconds, interval_s=0.25):
    """Sends the poisonous request at a fixed interval, at each entry host in turn, whatever the
    outcome of the earlier attempts."""
    until = time.monotonic() + seconds
    tasks = []
    number = 0
    while time.monotonic() < until:
        number += 1
        entry = number % len(site.entries)
        tasks.append(asyncio.ensure_future(
            site.send_request("chat", entry, timeout=2, body=POISON)))
        await asyncio.sleep(interval_s)
    return await asyncio.gather(*tasks)


async def ordinary_callers(site, stop, statuses):
    """Sends other requests of the same customer on the same route until `stop` is set."""
    number = 0
    while not stop.is_set():
        number += 1
        statuses.append(await site.send_request("chat", number % len(site.entries), timeout=2))
        await asyncio.sleep(0.03)


def test_a_request_that_crashes_endpoints_is_soon_sent_to_none():
    async def scenario(site):
        site.fleet.poison = POISON
        stop, statuses = asyncio.Event(), []
        load = [asyncio.ensure_future(ordinary_callers(site, stop, statuses)) for _ in range(3)]
        answers = await send_poison(site, 9)
        assert 200 not in answers
        assert len(site.fleet.crashes) >= 3, "it crashed fewer than three endpoints"
        assert len(late_runs(site.fleet)) <= LATE_RUNS_MAX, "%d crashes" % len(site.fleet.crashes)
        stop.set()
        await asyncio.gather(*load)
        assert await site.until(site.serves)
        assert statuses.count(200) > len(statuses) / 2, "too few ordinary requests were served"
        assert set(await quarantined(site)) == {1}, "ordinary requests are quarantined too"

    run_scenario(scenario, endpoints=(8, 8), entries=3)


async def quarantined(site):
    """How many different requests each process has in quarantine."""
    name = "liftweir_requests_quarantined"
    return [await site.metric(process, name) for process in site.controls + site.entries]


def test_quarantine_survives_a_restart_of_all_processes():
    async def scenario(site):
        site.fleet.poison = POISON
        await send_poison(site, 3)
        everyone = len(site.controls + site.entries)
        assert await site.until(lambda: _all_quarantine(site, [1] * everyone), 5), \
            await quarantined(site)
        for process in site.controls + site.entries:
            process.kill()
        for process in site.controls + site.entries:
            process.start()
        before = len(site.fleet.poison_runs)
        assert await site.until(site.serves)
        await send_poison(site, 3)
        assert len(site.fleet.poison_runs) == before
        assert await quarantined(site) == [1] * everyone

    async def _all_quarantine(site, numbers):
        return await quarantined(site) == numbers

    run_scenario(scenario, endpoints=(8, 8))


def test_a_call_that_may_run_once_is_not_reported_as_refused_after_it_was_aborted():
    async def scenario(site):
        site.fleet.poison, site.fleet.poison_prefill_s = POISON, 0.15
        tasks = []
        for n in range(20):
            tasks.append(asyncio.ensure_future(
                site.send_request("save", n % 2, timeout=2, body=POISON)))
            await asyncio.sleep(0.07)
        statuses = await asyncio.gather(*tasks)
        assert 503 in statuses and 200 not in statuses
        assert statuses.count(502) > len(site.fleet.crashes), "no call was aborted after sending"
        assert len(site.fleet.crashes) == 3

    run_scenario(scenario, plain=12)


# A frequent request is in flight at any endpoint that crashes, also where it is not the cause.
def test_an_answered_request_is_not_quarantined_for_unrelated_crashes():
    async def scenario(site):
        stop, statuses = asyncio.Event(), []
        load = [asyncio.ensure_future(ordinary_callers(site, stop, statuses)) for _ in range(4)]
        for _ in range(8):
            lead = next((w for w in site.endpoints if w.group and w.group["state"] == "open" and
                         w.group["rank"] == 0 and not w.unresponsive), None)
            if lead is not None:
                lead.crash(1.0)
            await asyncio.sleep(0.4)
        stop.set()
        await asyncio.gather(*load)
        assert await quarantined(site) == [0] * len(site.controls + site.entries)
        assert await site.until(site.serves)

    run_scenario(scenario, endpoints=(8, 8))


def test_a_request_aborted_by_bad_links_is_not_quarantined_for_long():
    async def scenario(site):
        site.fleet.aborted_body = b"asked over bad links"
        tasks = [await site.send_request("chat", n % 2, timeout=2, body=site.fleet.aborted_body)
                 for n in range(6)]
        assert 200 not in tasks
        site.fleet.aborted_body, body = None, site.fleet.aborted_body

        async def answered():
            return await site.send_request("chat", 1, timeout=2, body=body) == 200

        assert await site.until(answered, 5)
        assert await quarantined(site) == [0] * len(site.controls + site.entries)

    run_scenario(scenario, endpoints=(8, 8))


def test_endpoints_that_restart_under_the_same_id_release_no_request():
    async def scenario(site):
        site.fleet.poison = POISON
        await send_poison(site, 12, interval_s=2.2)
        assert len(site.fleet.crashes) >= 3, "it crashed fewer than three endpoints"
        assert len(late_runs(site.fleet)) <= LATE_RUNS_MAX, "%d crashes" % len(site.fleet.crashes)
        assert set(await quarantined(site)) == {1}

    run_scenario(scenario, endpoints=(8, 8), entries=3, has_start_time=False)
