"""A worker deregisters and is acknowledged. Then all processes of the core, and the entry hosts,
are killed and are back within a second, and an earlier liveness report of the worker arrives late.
Checks that from drain-ms after the acknowledgement entry hosts in touch send it no request."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from harness import (BROKEN, CONTACT_S, DRAIN_S, HELD, Site, Unable, Worker, manifest,  # noqa: E402
                     request, run_case, trouble)

SETTLE_S = 7.0      # all machines are in touch, and the core has written what it keeps
KILL_AFTER_S = 0.3  # from the acknowledgement
DOWN_S = 0.5        # from the kill to the restart
LATE_BEAT_S = 2.25  # from the acknowledgement to the arrival of an earlier report
SERVES_ON_S = 10.0  # the worker serves on after the acknowledgement, then ends
WORK_S = 0.06       # of a request, as on the sheet
CALLERS = 3         # at each entry host


async def callers(site, entry, stop, answers):
    while not stop.is_set():
        route = ("look", "save")[len(answers) % 2]
        answers.append((*await request(site, entry, route), entry.name, route))
        await asyncio.sleep(0.02)


async def case(holder):
    site = Site()
    holder.append(site)
    site.start()
    workers = [Worker(site, n + 1) for n in range(3)]
    for worker in workers:
        worker.work_s = WORK_S
        await worker.start()
    if not await site.put_manifest(manifest()):
        raise Unable("the first manifest was not acknowledged")
    await site.wait_ready()
    stop, answers = asyncio.Event(), []
    load = [asyncio.ensure_future(callers(site, entry, stop, answers))
            for entry in site.entries for _ in range(CALLERS)]
    await asyncio.sleep(SETTLE_S)

    leaver = workers[0]
    delayed = leaver.body()  # sent now, delayed on its way
    if not await leaver.deregister(site.control_addresses[0]):
        raise Unable("the worker's end was not acknowledged")
    acked = time.monotonic()
    site.note("control-1 acknowledged that worker %s is gone; it serves on" % leaver.id)
    if trouble():
        await asyncio.sleep(KILL_AFTER_S)
        for process in site.controls + site.entries:
            process.kill()
        site.note("killed all control hosts and entry hosts")
        await asyncio.sleep(DOWN_S)
        for process in site.controls + site.entries:
            process.start()
        site.note("started all control hosts and entry hosts again")
    await asyncio.sleep(max(0, acked + LATE_BEAT_S - time.monotonic()))
    at = await leaver.send_report(delayed, site.control_addresses[1])
    site.note("a report that worker %s sent before it left arrives late at control-2: %s" %
              (leaver.id, "acknowledged" if at else "not acknowledged"))
    await asyncio.sleep(max(0, acked + SERVES_ON_S - time.monotonic()))
    leaver.stop()
    ended = time.monotonic()
    site.note("worker %s ended" % leaver.id)
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*load)

    in_touch = site.last_event(site.controls + site.entries) + CONTACT_S
    sent = {number: (when, entry, status, route) for number, when, status, entry, route in answers}
    late, lost = [], []
    for arrived, number in leaver.arrivals:
        when, entry, status, route = sent.get(number, (0, "unknown", 0, ""))
        if arrived > acked + DRAIN_S and min(arrived, when) > in_touch:
            late.append(arrived - acked)
            site.record.append((site.seconds(arrived), "too late: request %s (%s, sent at %.3f s "
                                "to %s, which is in touch) reaches worker %s %.3f s after the "
                                "acknowledgement" % (number, route, site.seconds(when), entry,
                                                     leaver.id, arrived - acked)))
            if number not in leaver.answered:
                lost.append("%s (%s, answered %d)" % (number, route, status))
    for worker in workers:
        site.note("worker %s ran %d requests" % (worker.id, len(worker.arrivals)))
    counts = {}
    for _, _, status, _, _ in answers:
        counts[status] = counts.get(status, 0) + 1
    site.note("answers to callers: %s" % counts)
    site.note("at work on worker %s when it ended: %s" % (leaver.id, ", ".join(lost) or "none"))
    if 200 not in counts or ended < in_touch:
        raise Unable("no request was served, or the worker ended too early")
    if late:
        return BROKEN, ("DRAIN broken: %d requests from machines in touch reached the worker %.2f "
                        "to %.2f s after its end was acknowledged; %d of them were broken off when "
                        "it ended" % (len(late), min(late), max(late), len(lost)))
    return HELD, "DRAIN held"


run_case(FOLDER, case)
