"""Crowds of clients that keep to no limit, at every port that a client reaches. Guards against a
process that ends, that takes more memory than its host has or more descriptors than it may open,
or that no longer serves ordinary callers. Nothing here depends on the machine's speed."""
import asyncio

import pytest

import http1
from badclients import BODY_BYTES, Crowd, Usage
from sitefleet import Site

MEMORY_MB = 64
DESCRIPTORS = 600
CROWD = 100           # connections with a body: more than the memory holds
SILENT_CROWD = 700    # connections without one: more than there are descriptors
ARRIVE_S, STAY_S = 20, 1.5
SERVED_S = 15

BODIES = ["large_chunks_short_of_the_end", "tiny_chunks_short_of_the_end", "whole",
          "short_of_the_end", "pieces_short_of_the_end", "drip", "announced_beyond_the_limit",
          "sent_beyond_the_limit"]
CALLERS = BODIES + ["unknown_key_short_of_the_end", "pipelined", "head_without_end", "silent"]
DOCUMENTS = BODIES + ["many_values", "head_without_end", "silent"]
OTHERS = ["large_chunks_short_of_the_end", "short_of_the_end", "silent"]


class SmallSite(Site):
    """A site whose processes have little memory and few descriptors."""

    def __init__(self):
        super().__init__(controls=1, entries=1, endpoints=(), plain=3, tolerance=0)
        self.fleet.work_s = 0.5
        for process in self.controls + self.entries:
            process.config.update(memory_mb=MEMORY_MB, max_descriptors=DESCRIPTORS)

    def document(self):
        return {**super().document(),
                "limits": {"max-header-bytes": 16384, "max-body-bytes": BODY_BYTES,
                           "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}

    async def is_readable(self):
        status, _ = await self.control_call("GET", "/Config.Read")
        return status == 200


def check_refusals(site, answers):
    """A refusal promises that the request did not run, and tells when to come back."""
    for request, answer in answers.items():
        head = answer.partition(b"\r\n\r\n")[0].lower()
        if head.startswith(b"http/1.1 503"):
            assert b"\r\nretry-after:" in head, "a 503 without Retry-After: %r" % head
        if head.startswith((b"http/1.1 503", b"http/1.1 408", b"http/1.1 413")):
            assert request not in site.fleet.runs, "a refused request ran"


def run_crowd(process_of, address_key, path, form, serves):
    """Lets a crowd come to one port of one process and stay, and checks the process. `serves` tells
    whether an ordinary request is answered beside the crowd."""
    async def run():
        site = SmallSite()
        try:
            await site.start()
            assert await site.until(lambda: site.serves("look")), "not served at the start"
            process = process_of(site)
            usage = Usage(process)
            crowd = Crowd(process.config[address_key], path, form,
                          SILENT_CROWD if form == "silent" else CROWD)
            crowd.start()
            await crowd.arrive(ARRIVE_S if form != "drip" else STAY_S)
            await asyncio.sleep(STAY_S)
            assert process.running(), "the process ended"
            assert await site.until(lambda: serves(site), SERVED_S), \
                "no ordinary request is answered beside the crowd"
            check_refusals(site, crowd.answers())
            crowd.close()
            body = b"x" * BODY_BYTES
            assert await site.until(lambda: large_is_served(site, body), SERVED_S), \
                "a body of the largest size is not served after the crowd"
            usage.stop()
            print("%s at %s of %s: peak %.0f MB, %.0f MB of them unread; %d descriptors" % (
                form, address_key, process.name, usage.peak_mb, usage.peak_unread_mb,
                usage.peak_descriptors))
            assert process.running(), "the process ended"
            assert usage.peak_mb < MEMORY_MB, "more memory than the host has"
            assert usage.peak_descriptors < DESCRIPTORS, "more descriptors than allowed"
            assert site.check_all() == []
        finally:
            site.close()

    asyncio.run(run())


async def large_is_served(site, body):
    return await site.send_request("look", body=body) == 200


async def is_served(site):
    return await site.serves("look")


async def takes_documents(site):
    """An operator and an endpoint are answered."""
    return await site.put_document(2) and await site.is_readable()


async def is_told(address, path):
    try:
        status, _, text = await http1.call(address, "GET", path)
        return status == 200 and len(text) > 0
    except http1.IncompleteResponse:
        return False


async def tells_readiness(site):
    return await is_told(site.entries[0].config["ready"], "/readyz") and await is_served(site)


def tells_metrics(process_of):
    async def tells(site):
        return await is_told(process_of(site).config["metrics"], "/metrics") and \
            await is_served(site)
    return tells


def entry(site):
    return site.entries[0]


def control(site):
    return site.controls[0]


@pytest.mark.parametrize("form", CALLERS)
def test_callers_port_of_an_entry_host(form):
    run_crowd(entry, "callers", "/look/x", form, is_served)


@pytest.mark.parametrize("form", DOCUMENTS)
def test_operators_port_of_a_control_host(form):
    run_crowd(control, "control", "/Config.Replace", form, takes_documents)


@pytest.mark.parametrize("form", ["large_chunks_short_of_the_end", "whole"])
def test_reports_at_a_control_host(form):
    run_crowd(control, "control", "/Instances.Heartbeat/i-bad", form, takes_documents)


@pytest.mark.parametrize("form", OTHERS)
def test_readiness_port_of_an_entry_host(form):
    run_crowd(entry, "ready", "/readyz", form, tells_readiness)


@pytest.mark.parametrize("form", OTHERS)
@pytest.mark.parametrize("process_of", [entry, control], ids=["entry", "control"])
def test_metrics_port(process_of, form):
    run_crowd(process_of, "metrics", "/metrics", form, tells_metrics(process_of))


# The crowd fills all memory for bodies and then sends nothing, or a byte now and then.
@pytest.mark.parametrize("form", ["short_of_the_end", "drip"])
def test_callers_who_stall_keep_out_none_who_sends(form):
    async def serves(site):
        return await large_is_served(site, b"x" * BODY_BYTES)

    run_crowd(entry, "callers", "/look/x", form, serves)
