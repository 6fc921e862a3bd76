"""Tells where a job would go."""

import anyio
import msgspec

from basilwind.client import Client
from basilwind.entry.peer_messages import WhereRequest, WhereResponse
from basilwind.errors import DaemonUnreachable
from basilwind.output.tables import render_table
from basilwind.status import ExitStatus


def run(context, job, queue, entry, customer, as_json):
    """Prints the reasons that the pool's owner gives."""
    host, slash, path = queue.partition("/")
    question = msgspec.json.encode(WhereRequest(host, slash + path, job, customer))
    try:
        reply = anyio.run(_ask, entry, question)
    except DaemonUnreachable as error:
        context.write_error(f"basilwind: {error}")
        return ExitStatus.UNREACHABLE
    if reply.status != 200:
        message = reply.body.decode(errors="replace") or f"status {reply.status}"
        context.write_error(f"basilwind: {message}")
        return ExitStatus.ERROR
    reasons = msgspec.json.decode(reply.body, type=WhereResponse).reasons
    if as_json:
        for reason in reasons:
            context.write(msgspec.json.encode(reason).decode())
    else:
        rows = [[reason.topic, reason.text] for reason in reasons]
        context.write(render_table(["topic", "reason"], rows))
    return ExitStatus.SUCCESS


async def _ask(entry, question):
    client = Client(entry)
    try:
        return await client.where(question)
    finally:
        await client.aclose()
