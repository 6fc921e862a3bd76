"""Explains what happened to a job or task, from the daemons' logs."""

import json
from contextlib import ExitStack
from dataclasses import asdict

from basilwind.explain import explain, read_lines
from basilwind.status import ExitStatus


def run(context, name, files, as_json):
    """Prints the history and findings; fails if no log line has the name."""
    with ExitStack() as stack:
        streams = [
            stack.enter_context(open(file, encoding="utf-8", errors="replace"))
            for file in files
        ] or [context.stdin]
        explanation = explain(read_lines(streams, name), name)
    if not explanation.lines:
        context.write_error(f'basilwind: no log line names "{name}"')
        return ExitStatus.ERROR
    if as_json:
        context.write(json.dumps(asdict(explanation)))
        return ExitStatus.SUCCESS
    start = explanation.lines[0].at
    for line in explanation.lines:
        fields = " ".join(
            f"{field}={value}"
            for field, value in line.fields.items()
            if value is not None
        )
        log = f" log={line.source}" if line.source else ""
        context.write(f"{line.at - start:+9.3f} s  {line.event:18} {fields}{log}")
    for finding in explanation.findings:
        context.write(f"=> {finding}")
    return ExitStatus.SUCCESS
