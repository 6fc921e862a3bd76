"""Cancels jobs."""

import anyio

from basilwind.client import Client
from basilwind.errors import RequestInvalid
from basilwind.status import ExitStatus


def run(context, team, job_id, entry, token, label):
    """Cancels one job, or all unfinished jobs with a label."""
    if bool(job_id) == bool(label):
        raise RequestInvalid("give either a JOB_ID or a --label")
    reply = anyio.run(_cancel, team, job_id, entry, token, label)
    context.write(reply.body.decode())
    return ExitStatus.SUCCESS if reply.status == 200 else ExitStatus.ERROR


async def _cancel(team, job_id, entry, token, label):
    client = Client(entry, token)
    try:
        if label:
            return await client.cancel_label(team, label)
        return await client.cancel_job(team, job_id)
    finally:
        await client.aclose()
