"""The operators' list of seeds names other machines than at the first start. Guards against control
hosts that take the seeds of their settings for the first voters of the log."""
import asyncio

from sitefleet import Site

CONTROLS = 5


def test_control_is_kept_when_all_control_hosts_start_with_other_seeds():
    async def run():
        site = Site(controls=CONTROLS, entries=1, endpoints=(2, 2), plain=2, tolerance=1)
        try:
            await site.start()
            assert await site.until(lambda: site.serves("look")), "not served at the start"
            for process in site.controls + site.entries:
                process.config["seeds"] = [site.fleet.controls[n] for n in (3, 4, 0)]
            for process in site.controls:
                process.kill()
            for process in site.controls:
                process.start()
            assert await site.read_document(20) == site.acked, "the document can not be read"
            assert await site.put_document(10), "a new document is not accepted"
            assert await site.until(lambda: site.serves("look")), "not served afterwards"
            assert site.check_all() == []
        finally:
            site.close()

    asyncio.run(run())
