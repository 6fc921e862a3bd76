"""Entry point of the command line interface."""

import sys


def main():
    """Runs the command line and exits the process with its status."""
    from basilwind.core import run

    sys.exit(run().value)


if __name__ == "__main__":
    main()
