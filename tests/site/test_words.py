"""The table of the words that callers, endpoints and operators send, against the sources that read them."""
import glob
import os
import re

ROOT = os.path.join(os.path.dirname(__file__), "..", "..")
# Words in the adapter that nobody sends: values, words that it writes itself, and what it logs.
OWN = {"GET", "POST", "Content-Type", "Location", "LIFTWEIR_BOOT", "Target-Instance", "Tenant-Id",
       "Priority", "broken", "closing", "detail", "draining", "fence", "how", "joining", "kept",
       "liftweir-site-control", "liftweir-site-entry", "members", "model", "op", "open", "outcome",
       "ready", "safe", "stackLimit", "stopped", "streaming", "wait", "why", "expect"}


def text_of(path):
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return file.read()


def rows():
    found = re.findall(r"^\| `([^`]+)` \| ([^|]+) \| ([^|]+) \| ([^|]*)\|$", text_of("platform/WORDS.md"),
                       re.M)
    return {word: (place.strip(), reason.strip()) for word, _, place, reason in found}


def adapter():
    return "".join(text_of(os.path.relpath(p, ROOT)) for p in glob.glob(ROOT + "/platform/*.cpp"))


def test_every_word_of_the_table_is_read_where_it_says_or_has_a_reason():
    for word, (place, reason) in rows().items():
        quoted = '"%s"' % word.lower()
        if place == "-":
            assert len(reason) > 10, "%s is read by nobody, without a reason" % word
            assert quoted not in adapter().lower(), "%s is read, and the table says that it is not" % word
        else:
            assert quoted in text_of(place).lower(), "%s is not read in %s" % (word, place)


def test_every_word_that_the_adapter_reads_is_in_the_table():
    read = set(re.findall(r'"([A-Za-z][A-Za-z_-]*)"', adapter()))
    known = {word.lower() for word in rows()} | {word.lower() for word in OWN}
    assert sorted(word for word in read if word.lower() not in known) == []
