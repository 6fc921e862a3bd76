"""Copies of journal entries, kept by peers while the log is out."""

import anyio

from basilwind.errors import PeerUnreachable, RecordInvalid
from basilwind.journal.entries import Batch, decode_batch, encode_batch
from basilwind.peers.messages import JournalCopy

MAX_COPIES = 10_000


class CopySender:
    """Copies entries to all other entry hosts of the zone.

    Args:
        name: This entry host.
        incarnation: This process.
        zone_peers: Function that returns the names of the others, or None.
        link: Function from a name to its ``PeerLink``, or None.
    """

    def __init__(self, name, incarnation, zone_peers, link):
        self._name = name
        self._incarnation = incarnation
        self._zone_peers = zone_peers
        self._link = link

    async def send(self, entry):
        """Copies an entry to every peer.

        Raises:
            PeerUnreachable: A peer did not confirm its copy.
        """
        peers = self._zone_peers()
        if peers is None:
            raise PeerUnreachable("the zone's entry hosts are not known")
        batch = Batch(self._name, self._incarnation, 0, 0.0, [entry])
        copy = JournalCopy(self._name, encode_batch(batch))
        links = [self._link(name) for name in peers]
        if None in links:
            raise PeerUnreachable("an entry host of the zone is not known")
        await _call_all(links, copy)


async def _call_all(links, message):
    confirmed = []

    async def call(link):
        await link.call(message)
        confirmed.append(link)

    try:
        async with anyio.create_task_group() as tasks:
            for link in links:
                tasks.start_soon(call, link)
    except* PeerUnreachable:
        pass
    if len(confirmed) < len(links):
        raise PeerUnreachable("not every entry host of the zone took a copy")


class CopyStore:
    """Entries that other entry hosts of the zone copied here.

    Args:
        state: Function that returns the zone's ``JournalState``.
    """

    def __init__(self, state):
        self._state = state
        self._entries = {}

    def put(self, copy):
        """Keeps a copy.

        Raises:
            RecordInvalid: It does not parse.
            PeerUnreachable: There is no room for it.
        """
        entries = self._entries.setdefault(copy.holder, [])
        if len(entries) >= MAX_COPIES:
            self._prune(copy.holder)
            entries = self._entries[copy.holder]
        if len(entries) >= MAX_COPIES:
            raise PeerUnreachable("no room for more copies")
        batch = decode_batch(copy.data)
        if not batch.entries:
            raise RecordInvalid("a copy without entries")
        entries.extend(batch.entries)

    def missing_entries(self, pool, holder):
        """Returns a holder's entries of a shard that the journal lacks."""
        self._prune(holder)
        return [entry for entry in self._entries.get(holder, []) if entry.pool == pool]

    def _prune(self, holder):
        work_items = self._state().work_items
        self._entries[holder] = [
            entry
            for entry in self._entries.get(holder, [])
            if not _is_in_journal(work_items.get(entry.identity), entry)
        ]


def _is_in_journal(work, entry):
    if work is None:
        return False
    if work.finished is not None:
        return True
    return work.started is not None and work.started.task_id == entry.task_id
