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
    if call.excinfo is not None and hasattr(cluster, "folder"):
        name = "%s-%s" % (item.name, call.when)
        GATHERED.append((name, evidence.gather(cluster, name)))


def pytest_terminal_summary(terminalreporter):
    """Also for a test that is known to be red: of its failure pytest prints nothing."""
    for name, text in GATHERED:
        terminalreporter.section("evidence of " + name)
        terminalreporter.write_line(text)
