"""Journal entries that peers hold for each other while the log is unavailable."""

import anyio

from basilwind.errors import PeerUnreachable, RecordInvalid
from basilwind.journal.entries import Batch, decode_batch, encode_batch
from basilwind.peers.messages import JournalCopy

MAX_COPIES_PER_HOLDER = 10_000


class CopySender:
    """Sends journal entries to all other entry hosts of the zone.

    Args:
        own_name: Name of this entry host.
        incarnation: Id of this process.
        get_zone_peers: Function that returns the names of the other entry hosts of the
            zone, or None while they are unknown.
        find_link: Function from a name to its ``PeerLink``, or None if there is none.
    """

    def __init__(self, own_name, incarnation, get_zone_peers, find_link):
        self._own_name = own_name
        self._incarnation = incarnation
        self._get_zone_peers = get_zone_peers
        self._find_link = find_link

    async def send(self, entry):
        """Copies an entry to every peer and waits for all confirmations.

        Raises:
            PeerUnreachable: The peers are unknown, or at least one of them did not
                confirm its copy.
        """
        peers = self._get_zone_peers()
        if peers is None:
            raise PeerUnreachable("the entry hosts of the zone are not known yet")
        batch = Batch(self._own_name, self._incarnation, 0, 0.0, [entry])
        copy = JournalCopy(self._own_name, encode_batch(batch))
        links = [self._find_link(name) for name in peers]
        if None in links:
            raise PeerUnreachable("there is no link to an entry host of the zone")
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
        raise PeerUnreachable("not every entry host of the zone confirmed its copy")


class CopyStore:
    """Holds the entries that other entry hosts of the zone have sent.

    Args:
        get_state: Function that returns the zone's ``JournalState``.
    """

    def __init__(self, get_state):
        self._get_state = get_state
        self._entries = {}

    def put(self, copy):
        """Stores a copy.

        Args:
            copy: ``JournalCopy``.

        Raises:
            RecordInvalid: The copy does not parse or has no entries.
            PeerUnreachable: The holder already has the most copies allowed.
        """
        entries = self._entries.setdefault(copy.holder, [])
        if len(entries) >= MAX_COPIES_PER_HOLDER:
            self._drop_journaled(copy.holder)
            entries = self._entries[copy.holder]
        if len(entries) >= MAX_COPIES_PER_HOLDER:
            raise PeerUnreachable("too many journal copies from this sender")
        batch = decode_batch(copy.data)
        if not batch.entries:
            raise RecordInvalid("journal copy has no entries")
        entries.extend(batch.entries)

    def missing_entries(self, pool, holder):
        """Returns a holder's entries for a shard that are not in the journal yet."""
        self._drop_journaled(holder)
        return [entry for entry in self._entries.get(holder, []) if entry.pool == pool]

    def _drop_journaled(self, holder):
        work_items = self._get_state().work_items
        self._entries[holder] = [
            entry
            for entry in self._entries.get(holder, [])
            if not _is_in_journal(work_items.get(entry.identity), entry)
        ]


def _is_in_journal(work_item, entry):
    if work_item is None:
        return False
    if work_item.finished is not None:
        return True
    return work_item.started is not None and work_item.started.task_id == entry.task_id
