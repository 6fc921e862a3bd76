"""Publishes control records and reads what is in force."""

import time
import uuid
from dataclasses import dataclass

from basilwind.control.records import (
    CONTROL_STREAM,
    HostRecord,
    SettingsRecord,
    WaveRecord,
    encode_record,
)
from basilwind.control.replica import ControlReplica
from basilwind.errors import PlatformUnavailable, RetentionGap
from basilwind.platform.follower import PAGE_LIMIT
from basilwind.settings.tree import to_document

APPEND_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class SubtreeChange:
    """A subtree that differs from what is in force.

    Attributes:
        subtree: Name of the subtree.
        base_version: Version in force.
        settings: The declared settings.
        in_force: The settings in force, or None.
    """

    subtree: str
    base_version: int
    settings: object
    in_force: object


@dataclass(frozen=True, slots=True)
class Published:
    """What became of a record.

    Attributes:
        offset: Offset of the record.
        entry: Its ``AuditEntry``.
    """

    offset: int
    entry: object


class Publisher:
    """Reads the control stream to its end and appends to it.

    Args:
        client: ``PlatformClient``.
        author: Who publishes.
        wall: Wall clock, in seconds since the epoch.
    """

    def __init__(self, client, author, wall=time.time):
        self._client = client
        self._author = author
        self._wall = wall
        self._log = ControlReplica(client, time.monotonic, lambda entry: None)

    @property
    def state(self):
        """The ``ControlState`` as last read."""
        return self._log.state

    async def refresh(self):
        """Reads the control stream up to its present end.

        Returns:
            The ``ControlState`` in force.

        Raises:
            PlatformUnavailable: The log did not answer.
        """
        while True:
            try:
                page = await self._client.read(
                    CONTROL_STREAM, self._log.next_offset, PAGE_LIMIT, 0
                )
            except RetentionGap as gap:
                self._log.skip_to(gap.first_offset)
                continue
            for record in page.records:
                self._log.apply(record.offset, record.data.encode())
            if self._log.next_offset >= page.head:
                return self.state

    def changes(self, tree):
        """Returns a ``SubtreeChange`` for each subtree that differs."""
        in_force = self.state.tree.subtrees()
        return [
            SubtreeChange(
                subtree,
                self.state.versions.get(subtree, 0),
                settings,
                in_force.get(subtree),
            )
            for subtree, settings in tree.subtrees().items()
            if settings != in_force.get(subtree)
        ]

    async def publish_settings(self, change):
        """Publishes one changed subtree.

        Returns:
            The ``Published`` record.
        """
        record = SettingsRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall(),
            subtree=change.subtree,
            base_version=change.base_version,
            document=to_document(change.settings),
        )
        return await self._publish(record)

    async def publish_host(self, host, action, to_pool="", reason=""):
        """Publishes a change of one host, made from the state in force.

        Returns:
            The ``Published`` record.
        """
        known = self.state.hosts.get(host)
        record = HostRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall(),
            host=host,
            action=action,
            version=known.version if known is not None else 0,
            to_pool=to_pool,
            reason=reason,
        )
        return await self._publish(record)

    async def publish_wave(self, wave, action, **options):
        """Publishes a declaration or change of a wave.

        Returns:
            The ``Published`` record.
        """
        known = self.state.waves.get(wave)
        record = WaveRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall(),
            wave=wave,
            action=action,
            version=known.version if known is not None else 0,
            **options,
        )
        return await self._publish(record)

    async def _publish(self, record):
        # A lost answer is retried with the same id, which the fold drops if
        # the first attempt took effect.
        data = encode_record(record)
        for attempt in range(APPEND_ATTEMPTS):
            try:
                await self._client.append(CONTROL_STREAM, data)
                break
            except PlatformUnavailable:
                if attempt == APPEND_ATTEMPTS - 1:
                    raise
        await self.refresh()
        return self._find(record)

    def _find(self, record):
        entries = [e for e in self.state.audit if e.record_id == record.id]
        entry = next((e for e in entries if e.accepted), entries[0])
        return Published(entry.offset, entry)
