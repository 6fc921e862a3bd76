"""Cap'n Proto encoding of the messages between entry hosts; see ``peer.capnp``."""

from dataclasses import dataclass
from functools import singledispatch
from pathlib import Path

import capnp

from basilwind.errors import ProtocolError
from basilwind.membership.members import Heartbeat, ShardHint
from basilwind.models import Demand, Outcome, OutcomeKind, Reason, RequestSpec
from basilwind.peers.messages import (
    Answer,
    ControlQuery,
    ControlRecord,
    ControlReply,
    CopyAck,
    Handoff,
    HeartbeatAck,
    JobQuery,
    JobReply,
    JournalCopy,
    Recall,
    RecallReply,
    RecallState,
)

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))

# Decoding a message may read at most 64 MiB, here in words of 8 bytes.
MAX_WORDS = 64 * 1024 * 1024 // 8


def encode(message, call_id=0):
    """Encodes a message.

    Args:
        message: A ``Heartbeat``, or an instance of a class in
            ``basilwind.peers.messages``.
        call_id: Number that matches a call with its reply; 0 for other messages.

    Returns:
        The encoded message, bytes.
    """
    envelope = _schema.Envelope.new_message(callId=call_id)
    _fill(message, envelope)
    return envelope.to_bytes()


@dataclass(frozen=True, slots=True)
class DecodedMessage:
    """A received message and its call id; see ``encode``."""

    call_id: int
    message: object


def decode(data):
    """Decodes a message.

    Args:
        data: The encoded message, bytes.

    Returns:
        A ``DecodedMessage``.

    Raises:
        ProtocolError: The bytes are not a valid message.
    """
    try:
        with _schema.Envelope.from_bytes(
            data, traversal_limit_in_words=MAX_WORDS
        ) as envelope:
            which = envelope.which()
            return DecodedMessage(
                envelope.callId, _READERS[which](getattr(envelope, which))
            )
    except (capnp.KjException, KeyError, ValueError) as error:
        raise ProtocolError(f"invalid message: {error}") from error


@singledispatch
def _fill(message, envelope):
    raise NotImplementedError(type(message).__name__)


@_fill.register
def _(message: Heartbeat, envelope):
    target = envelope.init("heartbeat")
    target.name = message.name
    target.zone = message.zone
    target.incarnation = message.incarnation
    target.isLeaving = message.is_leaving
    target.isReady = message.is_ready
    target.controlOffset = message.control_offset
    target.controlDigest = message.control_digest
    target.stamp = message.stamp
    target.echo = message.echo
    target.isPromising = message.is_promising
    target.journalOffset = message.journal_offset
    shards = target.init("shards", len(message.shards))
    for target_hint, hint in zip(shards, message.shards, strict=True):
        target_hint.pool = hint.pool
        target_hint.freeSlots = max(hint.free_slots, 0)
        target_hint.waiting = hint.waiting


@_fill.register
def _(message: Handoff, envelope):
    target = envelope.init("handoff")
    target.handoffId = message.handoff_id
    target.remainingS = message.remaining_s
    target.isJob = message.is_job
    target.jobId = message.job_id
    _fill_spec(target.init("spec"), message.spec)


@_fill.register
def _(message: Answer, envelope):
    target = envelope.init("answer")
    target.handoffId = message.handoff_id
    _fill_outcome(target.init("outcome"), message.outcome)


@_fill.register
def _(message: Recall, envelope):
    envelope.init("recall").handoffId = message.handoff_id


@_fill.register
def _(message: RecallReply, envelope):
    target = envelope.init("recallReply")
    target.handoffId = message.handoff_id
    target.state = message.state.value
    if message.outcome is not None:
        _fill_outcome(target.init("outcome"), message.outcome)


@_fill.register
def _(message: JobQuery, envelope):
    target = envelope.init("jobQuery")
    target.jobId = message.job_id
    target.team = message.team
    target.cancel = message.cancel
    target.label = message.label


@_fill.register
def _(message: JobReply, envelope):
    target = envelope.init("jobReply")
    target.found = message.found
    target.state = message.state
    target.cancelled = message.cancelled
    if message.outcome is not None:
        _fill_outcome(target.init("outcome"), message.outcome)


@_fill.register
def _(message: ControlQuery, envelope):
    envelope.init("controlQuery").fromOffset = message.from_offset


@_fill.register
def _(message: ControlReply, envelope):
    target = envelope.init("controlReply")
    target.snapshot = message.snapshot
    records = target.init("records", len(message.records))
    for target_record, record in zip(records, message.records, strict=True):
        target_record.offset = record.offset
        target_record.data = record.data


@_fill.register
def _(message: JournalCopy, envelope):
    target = envelope.init("journalCopy")
    target.holder = message.holder
    target.data = message.data


@_fill.register
def _(message: CopyAck, envelope):
    envelope.copyAck = None


@_fill.register
def _(message: HeartbeatAck, envelope):
    envelope.heartbeatAck = None


def _fill_spec(target, spec):
    target.requestId = spec.request_id
    target.team = spec.team
    target.queue = spec.queue
    target.pool = spec.pool
    target.slots = spec.demand.slots
    target.cpus = spec.demand.cpus
    target.memoryGb = spec.demand.memory_gb
    target.accelerators = spec.demand.accelerators
    target.urgent = spec.urgent
    target.idempotent = spec.idempotent
    target.key = spec.key
    target.labels = list(spec.labels)
    target.contentType = spec.content_type
    target.body = spec.body
    target.expectedS = spec.expected_s


def _fill_outcome(target, outcome):
    target.kind = outcome.kind.value
    target.reason = outcome.reason.value
    target.status = outcome.status
    target.contentType = outcome.content_type
    target.body = outcome.body
    target.retryAfterS = outcome.retry_after_s
    target.worker = outcome.worker
    target.replayed = outcome.replayed


def _read_heartbeat(source):
    return Heartbeat(
        name=source.name,
        zone=source.zone,
        incarnation=source.incarnation,
        is_leaving=source.isLeaving,
        is_ready=source.isReady,
        control_offset=source.controlOffset,
        control_digest=source.controlDigest,
        shards=tuple(
            ShardHint(hint.pool, hint.freeSlots, hint.waiting) for hint in source.shards
        ),
        stamp=source.stamp,
        echo=source.echo,
        is_promising=source.isPromising,
        journal_offset=source.journalOffset,
    )


def _read_handoff(source):
    return Handoff(
        handoff_id=source.handoffId,
        spec=_read_spec(source.spec),
        remaining_s=source.remainingS,
        is_job=source.isJob,
        job_id=source.jobId,
    )


def _read_spec(source):
    return RequestSpec(
        request_id=source.requestId,
        team=source.team,
        queue=source.queue,
        pool=source.pool,
        demand=Demand(source.slots, source.cpus, source.memoryGb, source.accelerators),
        urgent=source.urgent,
        idempotent=source.idempotent,
        key=source.key,
        labels=tuple(source.labels),
        content_type=source.contentType,
        body=bytes(source.body),
        expected_s=source.expectedS,
    )


def _read_outcome(source):
    return Outcome(
        kind=OutcomeKind(source.kind),
        reason=Reason(source.reason),
        status=source.status,
        content_type=source.contentType,
        body=bytes(source.body),
        retry_after_s=source.retryAfterS,
        worker=source.worker,
        replayed=source.replayed,
    )


def _read_optional_outcome(source):
    return _read_outcome(source) if source.kind else None


def _read_recall_reply(source):
    return RecallReply(
        handoff_id=source.handoffId,
        state=RecallState(str(source.state)),
        outcome=_read_optional_outcome(source.outcome),
    )


def _read_job_query(source):
    return JobQuery(source.jobId, source.team, source.cancel, source.label)


def _read_job_reply(source):
    return JobReply(
        found=source.found,
        state=source.state,
        outcome=_read_optional_outcome(source.outcome),
        cancelled=source.cancelled,
    )


def _read_control_reply(source):
    records = tuple(
        ControlRecord(record.offset, bytes(record.data)) for record in source.records
    )
    return ControlReply(records, source.snapshot)


_READERS = {
    "heartbeat": _read_heartbeat,
    "handoff": _read_handoff,
    "answer": lambda source: Answer(source.handoffId, _read_outcome(source.outcome)),
    "recall": lambda source: Recall(source.handoffId),
    "recallReply": _read_recall_reply,
    "jobQuery": _read_job_query,
    "jobReply": _read_job_reply,
    "controlQuery": lambda source: ControlQuery(source.fromOffset),
    "controlReply": _read_control_reply,
    "journalCopy": lambda source: JournalCopy(source.holder, bytes(source.data)),
    "copyAck": lambda source: CopyAck(),
    "heartbeatAck": lambda source: HeartbeatAck(),
}


def encode_spec(spec):
    """Encodes a ``RequestSpec`` for the journal, packed."""
    target = _schema.Spec.new_message()
    _fill_spec(target, spec)
    return target.to_bytes_packed()


def decode_spec(data):
    """Decodes a ``RequestSpec`` from the journal.

    Raises:
        ProtocolError: The bytes are not a valid request.
    """
    try:
        return _read_spec(_schema.Spec.from_bytes_packed(data))
    except (capnp.KjException, ValueError) as error:
        raise ProtocolError(f"invalid request: {error}") from error
