"""Publishes control records and reads the control state in force."""

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
    """A settings subtree whose declared settings differ from those in force.

    Attributes:
        subtree: Name of the subtree.
        base_version: Version of the subtree in force; 0 if there is none.
        settings: The declared settings.
        in_force: The settings in force, or None.
    """

    subtree: str
    base_version: int
    settings: object
    in_force: object


@dataclass(frozen=True, slots=True)
class PublishResult:
    """Result of publishing a record.

    Attributes:
        offset: Offset of the record.
        entry: ``AuditEntry`` that tells whether it was accepted.
    """

    offset: int
    entry: object


class Publisher:
    """Appends records to the control stream and reads back their results.

    Args:
        client: ``PlatformClient``.
        author: Operator or daemon that publishes the records.
        wall_clock: Wall clock, in seconds since the Unix epoch.
    """

    def __init__(self, client, author, wall_clock=time.time):
        self._client = client
        self._author = author
        self._wall_clock = wall_clock
        self._replica = ControlReplica(client, time.monotonic, lambda entry: None)

    @property
    def state(self):
        """The ``ControlState`` as last read."""
        return self._replica.state

    async def refresh(self):
        """Reads the control stream up to its current end.

        Returns:
            The ``ControlState`` in force.

        Raises:
            PlatformUnavailable: The log did not answer.
        """
        while True:
            try:
                page = await self._client.read(
                    CONTROL_STREAM, self._replica.next_offset, PAGE_LIMIT, 0
                )
            except RetentionGap as gap:
                self._replica.skip_to(gap.first_offset)
                continue
            for record in page.records:
                self._replica.apply(record.offset, record.data.encode())
            if self._replica.next_offset >= page.head:
                return self.state

    def changes(self, tree):
        """Returns a ``SubtreeChange`` for each subtree that differs.

        Args:
            tree: ``SettingsTree`` with the declared settings.
        """
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
        """Publishes the declared settings of one subtree.

        Args:
            change: ``SubtreeChange``.

        Returns:
            ``PublishResult``.
        """
        record = SettingsRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall_clock(),
            subtree=change.subtree,
            base_version=change.base_version,
            document=to_document(change.settings),
        )
        return await self._publish(record)

    async def publish_host(self, host, action, to_pool="", reason=""):
        """Publishes a change of one host, based on its version in force.

        Returns:
            ``PublishResult``.
        """
        known = self.state.hosts.get(host)
        record = HostRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall_clock(),
            host=host,
            action=action,
            version=known.version if known is not None else 0,
            to_pool=to_pool,
            reason=reason,
        )
        return await self._publish(record)

    async def publish_wave(self, wave, action, **options):
        """Publishes the declaration or a change of a maintenance wave.

        Returns:
            ``PublishResult``.
        """
        known = self.state.waves.get(wave)
        record = WaveRecord(
            id=uuid.uuid4().hex,
            author=self._author,
            at=self._wall_clock(),
            wave=wave,
            action=action,
            version=known.version if known is not None else 0,
            **options,
        )
        return await self._publish(record)

    async def _publish(self, record):
        # After a lost answer, the append is retried with the same record id. If both
        # attempts reached the log, the second record is rejected as a duplicate.
        data = encode_record(record)
        for attempt in range(APPEND_ATTEMPTS):
            try:
                await self._client.append(CONTROL_STREAM, data)
                break
            except PlatformUnavailable:
                if attempt == APPEND_ATTEMPTS - 1:
                    raise
        await self.refresh()
        return self._result_of(record)

    def _result_of(self, record):
        entries = [e for e in self.state.audit if e.record_id == record.id]
        entry = next((e for e in entries if e.accepted), entries[0])
        return PublishResult(entry.offset, entry)
