"""KNOWN-RED.txt: tests that run and are reported, but whose failure does not fail their suite."""
import os

LIST = os.path.join(os.path.dirname(__file__), "..", "KNOWN-RED.txt")


def known_red():
    """Names of listed tests with their causes; a line is `test: cause (issue N)`."""
    if not os.path.exists(LIST):
        return {}
    with open(LIST) as file:
        return dict(line.strip().split(": ", 1) for line in file if ": " in line)


def mark(items):
    """Lets the listed ones of pytest's tests fail."""
    import pytest
    red = known_red()
    for item in items:
        if item.name in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.name], strict=False))
