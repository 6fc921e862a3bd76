"""Runs every measurement, one after the other."""

import importlib

NAMES = (
    "overhead",
    "idle",
    "group_commit",
    "split_slots",
    "fold",
    "recovery",
    "partition",
    "fault_mix",
    "turns",
    "capacity",
)


def main():
    for name in NAMES:
        importlib.import_module(f"bench.{name}").main()


if __name__ == "__main__":
    main()
