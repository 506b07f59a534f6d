"""A request that ends whatever begins to run it, and that comes again and again."""
import asyncio
import time

from test_site import play

POISON = b"ends whoever runs it"
TOLD_S = 3.0     # all entry hosts know of what happened so long ago
MORE_AT_MOST = 3  # runs that may still follow after that


def late_runs(fleet):
    """Runs of the poisonous request long after it had ended three workers."""
    if len(fleet.ended) < 3:
        return []
    return [at for at in fleet.poison_runs if at > fleet.ended[2] + TOLD_S]


async def insist(site, seconds, ask_every=0.25):
    """The poisonous request comes again at one entry host after the other, and its caller comes
    back with it after each failure."""
    until = time.monotonic() + seconds
    asked = []
    turn = 0
    while time.monotonic() < until:
        turn += 1
        entry = turn % len(site.entries)
        asked.append(asyncio.ensure_future(site.ask("chat", entry, timeout=2, body=POISON)))
        await asyncio.sleep(ask_every)
    return await asyncio.gather(*asked)


async def others(site, stop, statuses):
    """Callers of the same customer on the same route, who ask for something else."""
    turn = 0
    while not stop.is_set():
        turn += 1
        statuses.append(await site.ask("chat", turn % len(site.entries), timeout=2))
        await asyncio.sleep(0.03)


def test_a_request_that_ends_endpoints_is_soon_sent_to_none():
    async def scenario(site):
        site.fleet.poison = POISON
        stop, statuses = asyncio.Event(), []
        load = [asyncio.ensure_future(others(site, stop, statuses)) for _ in range(3)]
        answers = await insist(site, 9)
        assert 200 not in answers
        assert len(site.fleet.ended) >= 3, "it ended too few"
        assert len(late_runs(site.fleet)) <= MORE_AT_MOST, "%d ended" % len(site.fleet.ended)
        stop.set()
        await asyncio.gather(*load)
        assert await site.until(site.serves)
        assert statuses.count(200) > len(statuses) / 2, "others are served meanwhile"
        assert set(await held(site)) == {1}, "others are held back"

    play(scenario, workers=(8, 8), entries=3)


async def held(site):
    """How many different requests each process holds back."""
    name = "liftweir_requests_quarantined"
    return [await site.metric(process, name) for process in site.controls + site.entries]


def test_what_ended_endpoints_is_known_after_a_restart_of_all():
    async def scenario(site):
        site.fleet.poison = POISON
        await insist(site, 3)
        everyone = len(site.controls + site.entries)
        assert await site.until(lambda: _all_hold(site, [1] * everyone), 5), await held(site)
        for process in site.controls + site.entries:
            process.kill()
        for process in site.controls + site.entries:
            process.start()
        before = len(site.fleet.poison_runs)
        assert await site.until(site.serves)
        await insist(site, 3)
        assert len(site.fleet.poison_runs) == before
        assert await held(site) == [1] * everyone

    async def _all_hold(site, numbers):
        return await held(site) == numbers

    play(scenario, workers=(8, 8))


def test_a_call_that_may_run_once_is_not_called_refused_where_it_was_taken_back():
    async def scenario(site):
        site.fleet.poison, site.fleet.poison_read_s = POISON, 0.15
        asked = []
        for n in range(20):
            asked.append(asyncio.ensure_future(site.ask("save", n % 2, timeout=2, body=POISON)))
            await asyncio.sleep(0.07)
        statuses = await asyncio.gather(*asked)
        assert 503 in statuses and 200 not in statuses
        assert statuses.count(502) > len(site.fleet.ended), "none was taken back"
        assert len(site.fleet.ended) == 3

    play(scenario, plain=12)


# A request that is asked all the time is at whatever endpoint ends for another reason.
def test_a_request_that_endpoints_answer_is_not_held_back_for_their_ends():
    async def scenario(site):
        stop, statuses = asyncio.Event(), []
        load = [asyncio.ensure_future(others(site, stop, statuses)) for _ in range(4)]
        for _ in range(8):
            lead = next((w for w in site.workers if w.group and w.group["state"] == "open" and
                         w.group["rank"] == 0 and not w.dark), None)
            if lead is not None:
                lead.crash(1.0)
            await asyncio.sleep(0.4)
        stop.set()
        await asyncio.gather(*load)
        assert await held(site) == [0] * len(site.controls + site.entries)
        assert await site.until(site.serves)

    play(scenario, workers=(8, 8))


def test_a_request_that_bad_links_broke_off_is_not_held_back_for_long():
    async def scenario(site):
        site.fleet.broken_off = b"asked over bad links"
        asked = [await site.ask("chat", n % 2, timeout=2, body=site.fleet.broken_off)
                 for n in range(6)]
        assert 200 not in asked
        site.fleet.broken_off, body = None, site.fleet.broken_off

        async def answered():
            return await site.ask("chat", 1, timeout=2, body=body) == 200

        assert await site.until(answered, 5)
        assert await held(site) == [0] * len(site.controls + site.entries)

    play(scenario, workers=(8, 8))


def test_endpoints_that_come_back_under_their_names_clear_no_request():
    async def scenario(site):
        site.fleet.poison = POISON
        await insist(site, 12, ask_every=2.2)
        assert len(site.fleet.ended) >= 3, "it ended too few"
        assert len(late_runs(site.fleet)) <= MORE_AT_MOST, "%d ended" % len(site.fleet.ended)
        assert set(await held(site)) == {1}

    play(scenario, workers=(8, 8), entries=3, has_start_time=False)
