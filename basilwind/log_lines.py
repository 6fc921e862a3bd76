"""Reads the log lines of daemons and workers and finds those that concern a name.

A name is a job's id, or a task's (``ID.OCCURRENCE.STEP.INDEX``).
"""

import json
from dataclasses import dataclass, field, replace
from pathlib import Path

from basilwind.scheduling.run_events import RUN_COLUMNS

_METADATA_FIELDS = frozenset(("timestamp", "task_uuid", "task_level", "message_type"))


@dataclass
class LogLine:
    """A log line.

    Attributes:
        at: Timestamp by the clock of its daemon, in seconds since the Unix epoch.
        event: What happened.
        fields: The other fields of the line.
        source: Name of the daemon, or of the file.
    """

    at: float
    event: str
    fields: dict = field(default_factory=dict)
    source: str = ""


def read_stream(stream):
    """Yields the ``LogLine`` objects of a stream; other text is skipped.

    The source is the word before the line, as in a joint log of several daemons,
    otherwise the host that logged its start, otherwise the file. A line without a
    timestamp gets that of the line before.

    Args:
        stream: Iterable of text lines, such as a file.
    """
    name, at = Path(str(getattr(stream, "name", ""))).stem, 0.0
    for text in stream:
        prefix, brace, rest = text.partition("{")
        try:
            message = json.loads(brace + rest)
        except json.JSONDecodeError:
            continue
        event = message.get("message_type", "")
        if event == "started":
            name = message.get("host", name)
        at = message.get("timestamp", at)
        fields = {k: v for k, v in message.items() if k not in _METADATA_FIELDS}
        source = prefix.split()[-1] if prefix.strip() else name
        yield LogLine(at, event, fields, source)


def is_task(name):
    """Returns whether a name is a task's; otherwise it is a job's."""
    return "." in name


def select(line, name):
    """Returns a line with only the runs that concern a name, or None without any.

    Args:
        line: ``LogLine``.
        name: Id of a job, or name of a task.
    """
    fields = line.fields
    if isinstance(fields.get("runs"), list):
        return _select_runs(line, name)
    if "task" in fields or "step" in fields:
        own = fields.get("task") or fields["step"]
        is_own = _is_within(own, name) or (
            "task" not in fields and _is_within(name, own)
        )
        return line if is_own else None
    job_id = name.partition(".")[0]
    texts = (value for value in fields.values() if isinstance(value, str))
    return line if any(job_id in text for text in texts) else None


def _is_within(name, whole):
    return name == whole or str(name).startswith(f"{whole}.")


def _select_runs(line, name):
    columns = RUN_COLUMNS.get(line.event, ())
    rows = []
    for row in line.fields["runs"]:
        # Earlier versions wrote fewer columns.
        run = dict(zip(columns, row, strict=False))
        if "index" in run:
            run["task"] = f"{line.fields.get('step')}.{run.pop('index')}"
        if _is_within(run.get("task", ""), name):
            rows.append(run)
    if not rows:
        return None
    others = {k: v for k, v in line.fields.items() if k != "runs"}
    if len(rows) == 1:
        return replace(line, fields=rows[0] | others)
    return replace(line, fields=others | {"runs": [list(run.values()) for run in rows]})
