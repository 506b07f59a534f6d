"""What the scripts of review 2 share: a small deployment of the project's own stand-ins
(tests/site), whose programs are started with the commands of deploy/system.toml, and a record."""
import asyncio
import json
import os
import subprocess
import sys
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tests", "site"))
os.environ["LIFTWEIR_BUILD"] = "target"

import http1  # noqa: E402
import sitefleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Not 1 for a broken rule, since Python itself ends with 1 after an error; run.sh turns 3 into 1.
HELD, NOT_RUN, BROKEN = 0, 2, 3

with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
    ROLES = tomllib.load(file)["roles"]


def write_settings(process):
    """Lays the settings file, as the platform does at each start and whenever settings change."""
    with open(process.file + ".new", "w") as out:
        json.dump(process.config, out)
    os.replace(process.file + ".new", process.file)


def start_as_deployed(process):
    """Starts the role's `run` of the deploy file with the settings file in LIFTWEIR_BOOT."""
    write_settings(process)
    role = "control" if "control" in process.config else "entry"
    with open(process.log, "a") as log:
        process.popen = subprocess.Popen(
            ROLES[role]["run"].split(), cwd=ROOT, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "LIFTWEIR_BOOT": process.file})


sitefleet.Process.start = start_as_deployed


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, directory):
        self.began = time.monotonic()
        self.file = open(os.path.join(directory, "record.txt"), "w")

    def line(self, text):
        self.file.write("%8.3f %s\n" % (time.monotonic() - self.began, text))
        self.file.flush()


def run(directory, case, limit_s=115):
    """Runs `case(record)`, which returns whether the rule held, and exits with 0, 3 or 2."""
    record = Record(directory)
    record.line("trouble: %s" % ("yes" if TROUBLE else "no"))
    try:
        held = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as error:  # the case could not run
        record.line("could not run: %r" % error)
        print("could not run: %r" % error)
        sys.exit(NOT_RUN)
    record.line("rule %s" % ("held" if held else "BROKEN"))
    print("rule %s" % ("held" if held else "BROKEN"))
    sys.exit(HELD if held else BROKEN)
