"""Entry point of the command line."""

import sys


def main():
    """Runs the program and exits with its status."""
    from basilwind.core import run

    sys.exit(run().value)


if __name__ == "__main__":
    main()
