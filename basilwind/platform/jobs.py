"""Decoder of the jobs that callers submit."""

from typing import Annotated

import msgspec

from basilwind.checked_json import Count, Duration, Number, Size, decode_json
from basilwind.errors import RequestInvalid
from basilwind.scheduling.specs import MAX_TASKS, JobSpec, StepSpec

MAX_SPEC_BYTES = 4000


class _Step(msgspec.Struct, rename="camel"):
    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)] = 1
    cpu: Size = 0
    mem_mb: Size = 0
    gpu: Size = 0
    estimate_ms: Duration = 0
    after: list[Count] = []
    checkpointable: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    data_rack: str = ""
    anti_affinity: Count = 0
    allow_duplicates: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Duration = 0
    fills: bool = False
    may_miss: Count = 0


class _Job(msgspec.Struct, rename="camel"):
    steps: list[_Step]
    spec: str = ""
    repeat_count: Count = 0
    # Unix time of the first occurrence, in milliseconds.
    start_time_ms: Number = 0
    interval_ms: Duration = 0


def _decode_step(number, step):
    if any(earlier >= number for earlier in step.after):
        raise RequestInvalid(f"steps[{number}]: 'after' must name earlier steps")
    return StepSpec(
        count=step.count,
        cpu=step.cpu,
        memory=step.mem_mb,
        gpu=step.gpu,
        estimate_s=step.estimate_ms / 1000,
        after=tuple(step.after),
        is_checkpointable=step.checkpointable,
        is_gang=step.gang,
        needs_one_rack=step.same_rack,
        required_label=step.requires,
        data_rack=step.data_rack,
        most_per_worker=step.anti_affinity,
        allows_copies=step.allow_duplicates,
        is_lasting=step.long_running,
        image=step.image,
        tail_target_ms=step.target_ms,
        is_filler=step.fills,
        may_miss=step.may_miss,
    )


def decode_job(data):
    """Decodes and validates a submitted job.

    Args:
        data: Body of the request, bytes.

    Returns:
        A ``JobSpec``.

    Raises:
        RequestInvalid: The body does not parse, or a value is not allowed.
    """
    job = decode_json(data, _Job, "job", RequestInvalid)
    if not job.steps:
        raise RequestInvalid("job: 'steps' is empty; name at least one step")
    if len(job.spec.encode()) > MAX_SPEC_BYTES:
        raise RequestInvalid(f"job: 'spec' is longer than {MAX_SPEC_BYTES} bytes")
    tasks = sum(step.count for step in job.steps)
    if tasks > MAX_TASKS:
        raise RequestInvalid(f"job: {tasks} tasks, at most {MAX_TASKS} are allowed")
    return JobSpec(
        text=job.spec,
        steps=tuple(_decode_step(n, step) for n, step in enumerate(job.steps)),
        occurrences=max(1, job.repeat_count),
        is_timed=job.repeat_count > 0,
        first_due_s=job.start_time_ms / 1000,
        interval_s=job.interval_ms / 1000,
    )
