"""Shows a job."""

import anyio

from basilwind.client import Client
from basilwind.status import ExitStatus


def run(context, team, job_id, entry, token, wait_s):
    """Prints the job's state as its owner reports it."""
    reply = anyio.run(_fetch, team, job_id, entry, token, wait_s)
    context.write(reply.body.decode())
    return ExitStatus.SUCCESS if reply.status == 200 else ExitStatus.ERROR


async def _fetch(team, job_id, entry, token, wait_s):
    client = Client(entry, token)
    try:
        return await client.job(team, job_id, wait_s)
    finally:
        await client.aclose()
