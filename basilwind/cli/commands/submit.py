"""Submits a request or a job."""

import anyio

from basilwind.client import Client, SubmitOptions
from basilwind.models import OutcomeKind
from basilwind.status import ExitStatus

EXIT_STATUS_BY_OUTCOME = {
    OutcomeKind.DONE: ExitStatus.SUCCESS,
    OutcomeKind.REFUSED: ExitStatus.REFUSED,
    OutcomeKind.FAILED: ExitStatus.FAILED,
    OutcomeKind.CANCELLED: ExitStatus.CANCELLED,
    OutcomeKind.UNKNOWN: ExitStatus.UNKNOWN,
}


def run(context, team, queue, body, entry, token, is_job, **options):
    """Sends a request or job and prints the answer.

    Returns:
        ``ExitStatus`` of the outcome.
    """
    content = (body if body is not None else context.stdin.read()).encode()
    submit_options = SubmitOptions(
        idempotent=not options["once"],
        key=options["key"],
        urgent=options["urgent"],
        deadline_s=options["deadline"],
        slots=options["slots"],
        labels=tuple(options["labels"]),
    )
    reply = anyio.run(_send, entry, token, team, queue, content, submit_options, is_job)
    context.write(reply.body.decode("utf-8", "replace"))
    if reply.is_accepted:
        return ExitStatus.SUCCESS
    if reply.outcome is not OutcomeKind.DONE:
        context.write_error(_describe_outcome(reply))
    return EXIT_STATUS_BY_OUTCOME.get(reply.outcome, ExitStatus.ERROR)


async def _send(entry, token, team, queue, content, options, is_job):
    client = Client(entry, token)
    try:
        send = client.submit_job if is_job else client.submit
        return await send(team, queue, content, options)
    finally:
        await client.aclose()


def _describe_outcome(reply):
    """Returns a message with the outcome, its reason and when to try again."""
    outcome = reply.outcome.value if reply.outcome else f"HTTP {reply.status}"
    text = f"basilwind: {outcome} {reply.reason}".rstrip()
    retry_after = reply.headers.get("retry-after")
    return f"{text}; try again in {retry_after} s" if retry_after else text
