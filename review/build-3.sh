#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. They are Python, so
# this compiles them, and checks that they can be imported after the deploy build.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.
python3 -m compileall -q basilwind/standin extras review/harness3
python3 -c "import extras.entry_fleet, review.harness3.deployment, review.harness3.link"
