"""Tests that KNOWN-RED.txt lists run and are reported, but their failure does not fail the suite."""
import os

import pytest

import evidence

LIST = os.path.join(os.path.dirname(__file__), "..", "..", "KNOWN-RED.txt")


def known_red():
    """Names of listed tests with their causes; a line is `test: cause (issue N)`."""
    if not os.path.exists(LIST):
        return {}
    with open(LIST) as file:
        return dict(line.strip().split(": ", 1) for line in file if ": " in line)


def pytest_collection_modifyitems(items):
    red = known_red()
    for item in items:
        if item.name in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.name], strict=False))


GATHERED = []  # (test and phase, text)


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    yield
    cluster = item.funcargs.get("cluster")
    if call.excinfo is not None and hasattr(cluster, "folder"):
        name = "%s-%s" % (item.name, call.when)
        GATHERED.append((name, evidence.gather(cluster, name)))


def pytest_terminal_summary(terminalreporter):
    """Also for a test that is known to be red: of its failure pytest prints nothing."""
    for name, text in GATHERED:
        terminalreporter.section("evidence of " + name)
        terminalreporter.write_line(text)
