"""Control records for tests."""

import itertools

from basilwind.control.apply import apply_bytes
from basilwind.control.records import HostRecord, SettingsRecord, encode_record
from basilwind.control.state import ControlState
from basilwind.settings.tree import to_document
from tests.utils.settings import make_tree

_ids = itertools.count()


def settings_record(subtree, settings, base_version=0, **options):
    """Returns a record that replaces a subtree."""
    fields = {"id": f"id-{next(_ids)}", "author": "test", "at": 1.0} | options
    return SettingsRecord(
        subtree=subtree,
        base_version=base_version,
        document=to_document(settings),
        **fields,
    )


def host_record(host, action, version, **options):
    """Returns a record that changes a host."""
    fields = {"id": f"id-{next(_ids)}", "author": "test", "at": 1.0} | options
    return HostRecord(host=host, action=action, version=version, **fields)


def apply(state, record):
    """Applies a record at the next offset and returns its audit entry."""
    return apply_bytes(state, state.next_offset, encode_record(record))


def loaded_state(max_out=1):
    """Returns a control state with a small fleet in force."""
    state = ControlState()
    for subtree, settings in make_tree(max_out).subtrees().items():
        entry = apply(state, settings_record(subtree, settings))
        assert entry.accepted, entry.reason
    return state
