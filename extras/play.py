"""Runs an example system on loopback until it is interrupted."""

import argparse
import signal

from extras.example_system import running_example


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--example", default="examples/cordillera")
    with running_example(parser.parse_args().example) as launcher:
        for name, value in client_environment(launcher).items():
            print(f"export {name}={value}")
        print("running; interrupt to stop", flush=True)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


def client_environment(launcher):
    """Returns environment variables that point commands at a running example."""
    return {
        "BASILWIND_PLATFORM": launcher.platform_url,
        "BASILWIND_ENTRY": next(iter(launcher.entry_addresses.values())),
    }


if __name__ == "__main__":
    main()
