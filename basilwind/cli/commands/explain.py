"""Explains what happened to a job, from the daemons' logs."""

import json
from contextlib import ExitStack
from dataclasses import asdict

from basilwind.explain import explain, read_lines
from basilwind.status import ExitStatus


def run(context, job_id, files, as_json):
    """Prints a job's history and findings; fails if no log line names the job."""
    with ExitStack() as stack:
        streams = [
            stack.enter_context(open(file, encoding="utf-8", errors="replace"))
            for file in files
        ] or [context.stdin]
        explanation = explain(read_lines(streams, job_id), job_id)
    if not explanation.lines:
        context.write_error(f'basilwind: no log line names job "{job_id}"')
        return ExitStatus.ERROR
    if as_json:
        context.write(json.dumps(asdict(explanation)))
        return ExitStatus.SUCCESS
    start = explanation.lines[0].at
    for line in explanation.lines:
        fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
        context.write(f"{line.at - start:+9.3f} s  {line.event:18} {fields}")
    for finding in explanation.findings:
        context.write(f"=> {finding}")
    return ExitStatus.SUCCESS
