"""Another writer sends liveness reports whose `rank` is of another type. Checks that the processes
that serve control do not end by themselves."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import (BROKEN, HEARTBEAT_S, HELD, Site, Unable, Worker, manifest,  # noqa: E402
                     request, run_case, trouble)
import http1  # noqa: E402

SETTLE_S = 5.0    # all machines are in touch
TROUBLE_S = 25.0  # the other writer reports for this long
RESTART_S = 0.5   # the platform restarts a process that ended after this time
ENDS, HOSTS = 3, 2  # "on half of the core, processes end by themselves three times in the day"

ENGINE = {"slots": 48, "kv-capacity-tokens": 1400000, "stride": 3, "models": [
    {"name": "model-a", "size": 2, "share": 1.0, "pace": 1.0, "load_s": 4.0, "warm-s": 1.0}],
    "step_ms": 6.07, "per_seq_ms": 0.241, "context_per_k": 0.00488, "read_per_s": 46000.0,
    "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 3.0,
    "loads_at_once": 6, "usual": {"prompt": 1014, "answer": 85}, "keeps": 1, "far_x": 3.0,
    "form_ms": 300.0}


def report(site, number, rank):
    return json.dumps({
        "service": "llm", "address": "127.%d.3.200:8080" % site.net, "zone": "z1", "version": "v1",
        "slots": 48, "state": "ready", "cold-remaining-ms": 0, "sequence": number,
        "born": int(time.time() * 1000), "stage": "dual", "models": [], "staged": [],
        "domain": "d1", "group": {"name": "g7", "epoch": 12, "rank": rank, "state": "ready"},
    }).encode()


async def other_writer(site, stop):
    """Reports about every heartbeat, to one control host after the other until one answers 2xx or
    4xx, under a new name each time."""
    number = 0
    while not stop.is_set():
        number += 1
        rank = 4294967295.0 if trouble() else "first"
        for control in site.control_addresses:
            try:
                status, _, _ = await http1.call(
                    control, "POST", "/Instances.Heartbeat/i-other%d" % number,
                    body=report(site, number, rank), timeout=1)
            except http1.IncompleteResponse:
                status = 0
            site.note("other writer: report %d with \"rank\": %s to %s: %s" % (
                number, json.dumps(rank), control, status or "no answer"))
            if status:
                break
        await asyncio.sleep(HEARTBEAT_S)


async def operator(site, body, acked):
    """Sends a manifest until it is acknowledged."""
    sent = time.monotonic()
    site.note("operator: sends manifest 2")
    while not acked:
        status, _ = await site.control_call("POST", "/Config.Replace", body)
        if status == 200:
            acked.append(time.monotonic() - sent)
            site.note("operator: manifest 2 acknowledged after %.1f s" % acked[0])
        await asyncio.sleep(0.1)


async def platform(site, stop, ends):
    """Restarts processes that end, and counts the ends."""
    while not stop.is_set():
        for process in site.controls + site.entries:
            if not process.running():
                code = process.popen.returncode
                ends.setdefault(process.name, []).append(code)
                site.note("%s ended by itself: %s" % (
                    process.name, "signal %d" % -code if code < 0 else "status %d" % code))
                asyncio.get_running_loop().call_later(RESTART_S, process.start)
                process.popen = Running()
        await asyncio.sleep(0.02)


class Running:
    """Stands for a process that is about to be started again."""
    returncode = None

    def poll(self):
        return None

    def send_signal(self, _):
        pass

    def wait(self):
        pass


async def case(holder):
    site = Site(entries=1)
    holder.append(site)
    site.start()
    workers = [Worker(site, n + 1) for n in range(2)]
    for worker in workers:
        await worker.start()
    first = manifest(1)
    first["services"].append({"name": "llm", "health-path": "/healthz", "max-connections": 562,
                              "protocol": "h1", "tls": False, "engine": ENGINE})
    if not await site.put_manifest(first):
        raise Unable("the first manifest was not acknowledged")
    await site.wait_ready()
    await asyncio.sleep(SETTLE_S)

    stop, ends, answers, acked = asyncio.Event(), {}, {}, []
    second = json.dumps({**first, "version": 2}).encode()
    asyncio.get_running_loop().call_later(
        5, lambda: tasks.append(asyncio.ensure_future(operator(site, second, acked))))
    tasks = [asyncio.ensure_future(other_writer(site, stop)),
             asyncio.ensure_future(platform(site, stop, ends))]
    until = time.monotonic() + TROUBLE_S
    while time.monotonic() < until:
        _, _, status = await request(site, site.entries[0])
        answers[status] = answers.get(status, 0) + 1
        await asyncio.sleep(0.1)
    if not acked:
        site.note("operator: manifest 2 is not acknowledged after %.1f s" % (TROUBLE_S - 5))
    stop.set()
    acked.append(None)
    await asyncio.gather(*tasks)
    await asyncio.sleep(2 * RESTART_S)
    site.note("answers to callers meanwhile: %s" % answers)
    site.note("ends by themselves: %s" % {name: len(codes) for name, codes in ends.items()})
    if 200 not in answers and not ends:
        raise Unable("no request was served")
    if sum(len(codes) >= ENDS for codes in ends.values()) >= HOSTS:
        return BROKEN, "Fault: processes of the core ended by themselves: %s; answers to callers: %s" % (
            {name: "%d times (%s)" % (len(codes), sorted(set(codes)))
             for name, codes in sorted(ends.items())}, answers)
    return HELD, "no process of half of the core ended three times by itself"


run_case(FOLDER, case)
