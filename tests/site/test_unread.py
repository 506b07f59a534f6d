"""Callers that send requests and do not read the answers."""
import asyncio
import json
import statistics
import time

from test_site import run_scenario

STREAMS, WHOLE = 260, 40  # callers that do not read, by kind of answer
MEMORY_MB = 128
READERS = 10
# More than the entry host, the stand-in and the kernel hold of one answer on its way.
MORE_THAN_HELD = 1200000
REASON = "caller does not read"


def peak_memory_mb(process):
    """Largest resident memory of a process since its start."""
    with open("/proc/%d/status" % process.popen.pid) as status:
        return next(int(line.split()[1]) / 1024 for line in status if line.startswith("VmHWM"))


async def read_answers(site, seconds, times):
    """Sends requests one after another and reads the answers, which must be whole."""
    until, turn = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        turn += 1
        route = ("feed", "look")[turn % 2]
        sent = time.monotonic()
        status = await site.send_request(route, timeout=10)
        assert status == 200, "an answer that was read ended with %d" % status
        times[route].append(time.monotonic() - sent)


async def all_readers(site, seconds):
    """By route, the median of the times that the answers took, and the time of the slowest 5 %."""
    times = {"feed": [], "look": []}
    await asyncio.gather(*(read_answers(site, seconds, times) for _ in range(READERS)))
    return {route: (statistics.median(took), sorted(took)[int(len(took) * 0.95)])
            for route, took in times.items()}


def logged(process, message, why=None):
    """Monotonic time of the lines of one message, by request id."""
    offset = time.monotonic() - time.time()
    with open(process.log) as log:
        lines = [json.loads(line) for line in log if '"%s"' % message in line]
    return {line["request"]: line["ms"] / 1000 + offset for line in lines
            if line["message"] == message and (why is None or line.get("why") == why)}


async def read_slowly(site, first_after, seconds):
    """Reads at most 500 KB/s of an endless answer that comes faster, after reading nothing for
    `first_after` seconds. Returns the request's id and how many bytes came."""
    request, sock = await site.send_unread("feed", receive_buffer=64 << 10)
    await asyncio.sleep(first_after)
    until, count = time.monotonic() + seconds, 0
    while time.monotonic() < until:
        got = len(await asyncio.get_running_loop().sock_recv(sock, 10000))
        if got == 0:
            break
        count += got
        await asyncio.sleep(0.02)
    sock.close()
    return request, count


# Guards against an entry host that runs out of memory for callers that do not read, that slows down
# the others for them, or that leaves endpoints at work on their answers.
def test_callers_that_do_not_read_are_ended_and_disturb_no_others():
    async def scenario(site):
        entry = site.entries[0]
        assert await site.until(lambda: site.serves("feed"))
        blocked = asyncio.ensure_future(read_slowly(site, 3.0, 2.0))
        alone = await all_readers(site, 2)
        blocked_request, blocked_bytes = await blocked
        assert blocked_bytes > MORE_THAN_HELD // 2, "a caller that was blocked for 3 s was cut off"
        slow = asyncio.ensure_future(read_slowly(site, 0, 9))
        readers = asyncio.ensure_future(all_readers(site, 8.5))
        unread = {}
        for number in range(STREAMS + WHOLE):
            route = "look" if number % ((STREAMS + WHOLE) // WHOLE) == 0 else "feed"
            request, sock = await site.send_unread(route)
            unread[request] = route, sock
            await asyncio.sleep(0.006)
        beside = await readers
        slow_request, slow_bytes = await slow
        memory = peak_memory_mb(entry)
        by_time, by_memory = [await site.metric(entry, 'liftweir_unread_ended{reason="%s"}' % why)
                              for why in ("time", "memory")]
        streams = {request for request, (route, _) in unread.items() if route == "feed"}
        print("readers alone %s, beside the others %s; peak memory %.0f MB; ended by time %d, by "
              "memory %d" % (alone, beside, memory, by_time, by_memory))
        assert memory < MEMORY_MB
        for route, (median, late) in beside.items():
            assert median < 1.5 * alone[route][0] + 0.05, "answers of %s are slower" % route
            assert late < 1.5 * alone[route][1] + 0.2, "some answers of %s are slower" % route
        assert by_time > 0 and by_memory > 0
        assert slow_bytes > MORE_THAN_HELD, "a caller that read slowly was cut off"
        assert await site.until(lambda: asyncio.sleep(0, set(logged(entry, REASON)) == set(unread)), 4)
        ended, stopped = logged(entry, REASON), site.fleet.stopped
        assert not {slow_request, blocked_request} & set(ended)
        assert streams <= set(logged(entry, "call", REASON))
        assert streams <= set(stopped), "endpoints still work for callers"
        delays = sorted(stopped[request] - ended[request] for request in streams)
        assert -0.1 < delays[0] and delays[-1] < 1.5, \
            "endpoints saw the end %.1f to %.1f s after it" % (delays[0], delays[-1])
        assert await site.metric(entry, "liftweir_unread_bytes") < 1 << 20
        for _, sock in unread.values():
            sock.close()

    def settings(site):
        site.route_timeout_ms = 30000
        for entry in site.entries:
            entry.config["memory_mb"] = MEMORY_MB

    run_scenario(scenario, settings, controls=1, entries=1, endpoints=(2,), plain=4, tolerance=0)
