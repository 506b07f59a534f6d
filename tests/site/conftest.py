"""Puts the shared test modules on the import path and applies KNOWN-RED.txt."""
import os
import sys

HERE = os.path.dirname(__file__)
sys.path[:0] = [HERE, os.path.dirname(HERE), os.path.join(os.path.dirname(HERE), "faults")]
from knownred import mark as pytest_collection_modifyitems  # noqa: E402, F401
