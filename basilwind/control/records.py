"""Records of the control stream.

Everyone with access to the platform may publish records, so each reader validates
them itself. The rules for applying them are deterministic, so all readers agree.
"""

import enum
from typing import Any

import msgspec

from basilwind.checked_json import decode_json
from basilwind.errors import RecordInvalid

CONTROL_STREAM = "control"
MAX_RECORD_BYTES = 256 * 1024


class HostAction(enum.StrEnum):
    """Change that a host record requests."""

    DRAIN = "drain"
    ACKNOWLEDGE = "acknowledge"
    UNDRAIN = "undrain"
    REBOOT = "reboot"
    RETURN = "return"
    MOVE = "move"
    FAIL = "fail"


class WaveAction(enum.StrEnum):
    """Change that a wave record requests."""

    DECLARE = "declare"
    PAUSE = "pause"
    RESUME = "resume"
    CANCEL = "cancel"


class _Record(msgspec.Struct, tag_field="type", forbid_unknown_fields=True):
    """Fields that every record has.

    Attributes:
        id: Unique id; a second record with the same id is a duplicate.
        author: Operator or daemon that published it.
        at: When it was published, in seconds since the Unix epoch.
    """

    id: str
    author: str
    at: float


class SettingsRecord(_Record, tag="settings"):
    """Replaces one subtree of the settings.

    Attributes:
        subtree: ``fleet`` or ``teams/NAME``.
        base_version: Version of the subtree that it is based on; 0 if there was none.
        document: The whole subtree.
    """

    subtree: str
    base_version: int
    document: dict[str, Any]


class HostRecord(_Record, tag="host"):
    """Requests a change of one host's phase or pool.

    Attributes:
        host: Name of the host.
        action: The requested change.
        version: Version of the host that the author based the change on.
        entry_host: For ``acknowledge``, the entry host that has no work left on the
            host.
        to_pool: For ``move``, the new pool.
        reason: Why the change is requested, for the audit trail.
        wave: For ``drain``, the maintenance wave that the drain is part of.
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
        action: The requested change.
        version: For actions other than ``declare``, version of the wave that the
            author based the change on.
        hosts: For ``declare``, the hosts to maintain.
        at_once: Largest number of the wave's hosts that are out at once.
        stop_share: Share of failed hosts, from 0 to 1, above which the wave stops; see
            ``WaveState``.
        finish_by: When the wave should be finished, in seconds since the Unix epoch.
    """

    wave: str
    action: WaveAction
    version: int = 0
    hosts: list[str] = []
    at_once: int = 1
    stop_share: float = 0.2
    finish_by: float = 0.0


class SnapshotRecord(_Record, tag="snapshot"):
    """One part of a snapshot of the control state.

    Attributes:
        offset: Offset of the first record that the snapshot does not include.
        digest: Digest of the state at that offset.
        part: Number of this part, from 0.
        parts: Number of parts of the snapshot.
        data: Text of this part.
    """

    offset: int
    digest: str
    part: int
    parts: int
    data: str


ControlRecord = SettingsRecord | HostRecord | WaveRecord | SnapshotRecord


def decode_record(data):
    """Parses a record of the control stream.

    Args:
        data: The record's bytes.

    Raises:
        RecordInvalid: The record is too large or does not parse.
    """
    if len(data) > MAX_RECORD_BYTES:
        message = f"record of {len(data)} bytes exceeds {MAX_RECORD_BYTES}"
        raise RecordInvalid(message)
    return decode_json(data, ControlRecord, "control record", RecordInvalid)


def encode_record(record):
    """Returns a record encoded for the control stream."""
    return msgspec.json.encode(record)
