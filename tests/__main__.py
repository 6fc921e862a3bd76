"""Runs the tests except those that KNOWN-RED.txt lists, which are printed."""

import logging
import os
import sys
import unittest
from pathlib import Path

from hypothesis import settings

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

settings.register_profile(
    "default", derandomize=True, deadline=None, database=None, max_examples=60
)
settings.register_profile("explore", deadline=None, max_examples=1000)


def known_failures():
    """Returns the ids of tests that fail because of a known, recorded fault."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = (line.removeprefix("test:") for line in lines if line[:5] == "test:")
    return {entry.strip(): entry for entry in entries}


def flatten(suite):
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from flatten(test)
        else:
            yield test


def main():
    # uvicorn logs an error for each task that a test cancels.
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "default"))
    loader = unittest.TestLoader()
    patterns = sys.argv[1:]
    found = flatten(loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT)))
    tests = [t for t in found if not patterns or any(p in t.id() for p in patterns)]
    known = known_failures()
    selected = unittest.TestSuite(test for test in tests if test.id() not in known)
    for test in tests:
        if test.id() in known:
            print(f"not run, known to fail: {test.id()}")
    result = unittest.TextTestRunner(verbosity=1).run(selected)
    failed = len(result.failures) + len(result.errors)
    failed += len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - failed - skipped
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() and result.testsRun else 1


if __name__ == "__main__":
    sys.exit(main())
