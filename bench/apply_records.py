"""Cost of applying records to the control and journal state, and of snapshots."""

import time
import tracemalloc

import msgspec

from basilwind.control.apply import apply_bytes
from basilwind.control.records import (
    HostAction,
    HostRecord,
    SettingsRecord,
    encode_record,
)
from basilwind.control.snapshot import decode_state, encode_state
from basilwind.control.state import ControlState
from basilwind.journal import state as journal_state
from basilwind.journal.entries import Batch, Claim, Finished, Started, encode_batch
from basilwind.models import OutcomeKind
from bench.fleet_files import FleetSize, fleet_document, team_document
from bench.report import linear_fit, report

WORKER_COUNTS = (90, 180, 360, 690)
WORK_ITEM_COUNTS = (1_000, 2_500, 5_000, 10_000)
DRAINS = 200


def main():
    rows = [control_row(workers) for workers in WORKER_COUNTS]
    headers = ["workers", "team change ms", "drain ms", "snapshot KB"]
    headers += ["encode ms", "load ms", "state KB"]
    notes = fit_notes(rows, headers)
    report("fold_control", headers, rows, notes)
    rows = [journal_row(work_items) for work_items in WORK_ITEM_COUNTS]
    headers = ["works", "apply us per entry", "state KB", "bytes per work on the log"]
    report("fold_journal", headers, rows, fit_notes(rows, headers))


def fit_notes(rows, headers):
    xs = [row[0] for row in rows]
    notes = []
    for index in range(1, len(headers)):
        slope, intercept, r2 = linear_fit(xs, [row[index] for row in rows])
        line = f"{headers[index]} = {intercept:.3f} + {slope:.6f} x {headers[0]}"
        notes.append(f"{line} (R2 {r2:.2f})")
    return notes


def control_row(workers):
    size = FleetSize(7, 3, workers, 24, 66)
    tracemalloc.start()
    state = load_state(size)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024.0
    tracemalloc.stop()
    change_ms = time_team_changes(state, size)
    drain_ms = time_drains(state)
    started = time.perf_counter()
    text = encode_state(state)
    encoded = time.perf_counter()
    decode_state(text)
    loaded_at = time.perf_counter()
    return [
        workers,
        change_ms,
        drain_ms,
        len(text) / 1024.0,
        (encoded - started) * 1e3,
        (loaded_at - encoded) * 1e3,
        memory_kb,
    ]


def load_state(size):
    state = ControlState()
    apply_settings(state, "fleet", fleet_document(size))
    for index in range(size.teams):
        apply_settings(state, f"teams/team-{index}", team_document(size, index))
    return state


def apply_settings(state, subtree, document):
    offset = state.next_offset
    version = state.versions.get(subtree, 0)
    record = SettingsRecord(f"id-{offset}", "bench", 0.0, subtree, version, document)
    entry = apply_bytes(state, offset, encode_record(record))
    assert entry.accepted, entry.reason


def time_team_changes(state, size):
    started = time.perf_counter()
    for index in range(size.teams):
        document = team_document(size, index) | {"quota_slots": 32}
        apply_settings(state, f"teams/team-{index}", document)
    return (time.perf_counter() - started) / size.teams * 1e3


def time_drains(state):
    names = list(state.hosts)
    started = time.perf_counter()
    for index in range(DRAINS):
        host = state.hosts[names[index % len(names)]]
        record = HostRecord(
            f"drain-{index}", "bench", 0.0, host.name, HostAction.DRAIN, host.version
        )
        apply_bytes(state, state.next_offset, encode_record(record))
    return (time.perf_counter() - started) / DRAINS * 1e3


def journal_row(work_items):
    records = journal_records(work_items)
    tracemalloc.start()
    state = journal_state.JournalState()
    for offset, data in enumerate(records):
        journal_state.apply_bytes(state, offset, data)
    memory_kb = tracemalloc.get_traced_memory()[0] / 1024.0
    tracemalloc.stop()
    state = journal_state.JournalState()
    started = time.perf_counter()
    for offset, data in enumerate(records):
        journal_state.apply_bytes(state, offset, data)
    apply_us = (time.perf_counter() - started) / (2 * work_items) * 1e6
    size = sum(len(data) for data in records) / work_items
    return [work_items, apply_us, memory_kb, size]


def journal_records(work_items):
    claim = Claim(pool="p", epoch=1, holder="e", incarnation="i")
    records = [encode_batch(Batch("e", "i", 1, 0.0, [claim]))]
    answer = msgspec.json.encode({"answer": "x" * 100})
    for index in range(work_items):
        identity = f"team/queue/0199b1c2-0000-7000-8000-{index:012d}"
        start = Started(
            pool="p",
            epoch=1,
            identity=identity,
            task_id=f"0199b1c2-0000-4000-8000-{index:012d}",
            worker="w1",
            worker_incarnation="0123456789ab",
            digest="d" * 32,
            deadline=0.0,
        )
        end = Finished(
            pool="p", epoch=1, identity=identity, kind=OutcomeKind.DONE, body=answer
        )
        for sequence, entry in ((2 * index + 2, start), (2 * index + 3, end)):
            records.append(encode_batch(Batch("e", "i", sequence, 0.0, [entry])))
    return records


if __name__ == "__main__":
    main()
