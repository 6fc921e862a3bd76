"""Runs an example on loopback until it is interrupted."""

import argparse
import signal

from extras.running import running


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", default="examples/cordillera")
    with running(parser.parse_args().example) as launcher:
        for name, value in environment(launcher).items():
            print(f"export {name}={value}")
        print("running; interrupt to stop", flush=True)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


def environment(launcher):
    """Returns the environment variables that commands read."""
    return {
        "BASILWIND_PLATFORM": launcher.platform,
        "BASILWIND_ENTRY": next(iter(launcher.entries.values())),
    }


if __name__ == "__main__":
    main()
