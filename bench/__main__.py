"""Runs all measurements, one after another."""

import importlib

MODULES = (
    "overhead",
    "idle",
    "group_commit",
    "split_slots",
    "apply_records",
    "recovery",
    "partition",
    "fault_mix",
    "bursts",
    "capacity",
    "customers",
    "places",
)


def main():
    for name in MODULES:
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main()
