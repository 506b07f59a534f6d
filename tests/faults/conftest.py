"""Applies KNOWN-RED.txt, and gathers evidence of the cluster when a test fails."""
import os
import sys

import pytest

sys.path[:0] = [os.path.dirname(__file__), os.path.dirname(os.path.dirname(__file__))]
import evidence  # noqa: E402
from knownred import mark as pytest_collection_modifyitems  # noqa: E402, F401

GATHERED = []  # (test and phase, text)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    yield
    cluster = item.funcargs.get("cluster")
    if call.excinfo is not None and hasattr(cluster, "directory"):
        name = "%s-%s" % (item.name, call.when)
        GATHERED.append((name, evidence.gather(cluster, name)))


def pytest_terminal_summary(terminalreporter):
    """Prints the evidence of every failure. Pytest prints nothing of a test that may fail."""
    for name, text in GATHERED:
        terminalreporter.section("evidence of " + name)
        terminalreporter.write_line(text)
