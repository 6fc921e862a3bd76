"""Records of the control stream.

Anybody with access to the platform may publish here, so a reader validates
each record and applies it by the same deterministic rules.
"""

import enum
from typing import Any

import msgspec

from basilwind.errors import RecordInvalid

CONTROL_STREAM = "control"
MAX_RECORD_BYTES = 256 * 1024


class HostAction(enum.StrEnum):
    """What a host record asks for."""

    DRAIN = "drain"
    ACKNOWLEDGE = "acknowledge"
    UNDRAIN = "undrain"
    REBOOT = "reboot"
    RETURN = "return"
    MOVE = "move"
    FAIL = "fail"


class WaveAction(enum.StrEnum):
    """What a wave record asks for."""

    DECLARE = "declare"
    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


class _Record(msgspec.Struct, tag_field="type", forbid_unknown_fields=True):
    """Fields of every record.

    Attributes:
        id: Unique id; a second record of the same id is a duplicate.
        author: Operator or daemon that published it.
        at: When it was published, in seconds since the epoch.
    """

    id: str
    author: str
    at: float


class SettingsRecord(_Record, tag="settings"):
    """Replaces one subtree of the settings.

    Attributes:
        subtree: ``fleet`` or ``teams/NAME``.
        base_version: Version of the subtree it was made from; 0 for none.
        document: The whole subtree.
    """

    subtree: str
    base_version: int
    document: dict[str, Any]


class HostRecord(_Record, tag="host"):
    """Asks for a change of one host's phase or pool.

    Attributes:
        host: Name of the host.
        action: What to do.
        version: Host version that the author saw.
        entry_host: For ``acknowledge``, the entry host with nothing in flight.
        to_pool: For ``move``, the new pool.
        reason: Why, for the audit trail.
        wave: For ``drain``, the maintenance wave that it is part of.
    """

    host: str
    action: HostAction
    version: int
    entry_host: str = ""
    to_pool: str = ""
    reason: str = ""
    wave: str = ""


class WaveRecord(_Record, tag="wave"):
    """Declares or changes a maintenance wave.

    Attributes:
        wave: Name of the wave.
        action: What to do.
        version: For changes, version of the wave that the author saw.
        hosts: For ``declare``, the hosts to maintain.
        at_once: Most hosts of the wave that are out at once.
        stop_share: Share of failed hosts at which the wave stops by itself.
        finish_by: When it is to be finished, in seconds since the epoch.
    """

    wave: str
    action: WaveAction
    version: int = 0
    hosts: list[str] = []
    at_once: int = 1
    stop_share: float = 0.2
    finish_by: float = 0.0


class SnapshotRecord(_Record, tag="snapshot"):
    """A part of the compacted control state.

    Attributes:
        offset: Offset up to which the state is folded.
        digest: Digest of the state at that offset.
        part: Number of this part, from 0.
        parts: How many parts there are.
        data: The part's text.
    """

    offset: int
    digest: str
    part: int
    parts: int
    data: str


ControlRecord = SettingsRecord | HostRecord | WaveRecord | SnapshotRecord

_decoder = msgspec.json.Decoder(ControlRecord)


def decode_record(data):
    """Parses a record of the control stream.

    Args:
        data: The record's bytes.

    Raises:
        RecordInvalid: It is too large or is not a valid record.
    """
    if len(data) > MAX_RECORD_BYTES:
        message = f"record of {len(data)} bytes exceeds {MAX_RECORD_BYTES}"
        raise RecordInvalid(message)
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise RecordInvalid(f"not a valid record: {error}") from error


def encode_record(record):
    """Returns a record's bytes."""
    return msgspec.json.encode(record)
