import os
import sys

sys.path[:0] = [os.path.dirname(__file__), os.path.dirname(os.path.dirname(__file__))]
from knownred import mark as pytest_collection_modifyitems  # noqa: E402, F401
