"""Compares platform/WORDS.md, the table of the names that callers, endpoints and operators send,
with the sources that read these names."""
import glob
import os
import re

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
# Strings in the adapter that are not in the table: values, names that it writes, and log texts.
NOT_IN_TABLE = {
    "GET", "POST", "Content-Type", "Location", "LIFTWEIR_BOOT", "Target-Instance", "Tenant-Id",
    "Priority", "broken", "closing", "detail", "draining", "fence", "how", "joining", "kept",
    "liftweir-site-control", "liftweir-site-entry", "members", "model", "op", "open", "outcome",
    "ready", "safe", "stackLimit", "stopped", "streaming", "wait", "why", "expect"}


def text_of(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return file.read()


def table_rows():
    found = re.findall(r"^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \| ([^|]*)\|$", text_of("platform/WORDS.md"),
                       re.M)
    return {name: (place.strip(), reason.strip()) for name, _, place, reason in found}


def adapter_sources():
    return "".join(text_of(os.path.relpath(p, ROOT)) for p in glob.glob(ROOT + "/platform/*.cpp"))


def test_every_name_of_the_table_is_read_in_its_file_or_has_a_reason():
    for name, (place, reason) in table_rows().items():
        quoted = '"%s"' % name.lower()
        if place == "-":
            assert len(reason) > 10, "%s is not read anywhere, and the table gives no reason" % name
            assert quoted not in adapter_sources().lower(), \
                "%s is read, but the table lists it as not read" % name
        else:
            assert quoted in text_of(place).lower(), "%s is not read in %s" % (name, place)


def test_every_name_that_the_adapter_reads_is_in_the_table():
    read = set(re.findall(r'"([A-Za-z][A-Za-z_-]*)"', adapter_sources()))
    known = {name.lower() for name in table_rows()} | {name.lower() for name in NOT_IN_TABLE}
    assert sorted(name for name in read if name.lower() not in known) == []
