"""Alternating bursts: queues send five times their mean rate in turn.

Between its bursts a queue sends a twentieth of its mean rate. Daemons are real
processes. A burst exceeds the slots of the queue's pool; the table shows how
much of it was done, that no team starved, and how late urgent work started.
"""

import time

import anyio

from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.settings.generated.load import LoadKind, LoadMix
from bench.report import quantile, report
from extras.example_system import running_example

MEAN_RATE = 15.0
BURST_FACTOR = 5.0
IDLE_FACTOR = 1.0 / 20.0
BURST_S = 6.0
ROUNDS = 1
WORK_S = 1.0
DEADLINE_S = 5.0
URGENT_EVERY = 20
URGENT_TARGET_S = 6.9
SLOTS = 48


def main():
    with running_example("examples/cordillera") as launcher:
        results, verification = anyio.run(measure, launcher)
    rows = [row(team, result) for team, result in results.items()]
    headers = ["team", "sent", "done", "refused", "unknown", "no answer"]
    headers += ["done/s in its peak", "of its slots", "urgent start p99 s", "in time"]
    notes = [
        f"peak {MEAN_RATE * BURST_FACTOR:g}/s of {WORK_S:g} s work on {SLOTS} slots for"
        f" {BURST_S:g} s, {MEAN_RATE * IDLE_FACTOR:g}/s else;"
        f" deadline {DEADLINE_S:g} s",
        f"runs cut off: {verification.interrupted};"
        f" broken rules: {len(verification.violations)}",
    ]
    report("turns", headers, rows, notes)


async def measure(launcher):
    runners = {}
    for team, settings in launcher.tree.teams.items():
        queue = settings.queues[0].name
        options = {"work_s": WORK_S, "deadline_s": DEADLINE_S}
        urgent = options | {"urgent": True, "deadline_s": URGENT_TARGET_S + WORK_S}
        kinds = [
            LoadKind("normal", team, queue, share=URGENT_EVERY - 1, **options),
            LoadKind("urgent", team, queue, share=1, **urgent),
        ]
        tokens = {team: f"{team}-token"}
        entries = launcher.entry_addresses.values()
        runners[team] = LoadRunner(
            entries, tokens, LoadMix(kinds), time.monotonic, seed=len(runners)
        )
    async with anyio.create_task_group() as tasks:
        for position, runner in enumerate(runners.values()):
            tasks.start_soon(run_bursts, runner, position, len(runners))
    all_sent = [sent for runner in runners.values() for sent in runner.result.sent]
    ledgers = await fetch_ledgers(launcher.worker_addresses.values())
    any_result = next(iter(runners.values())).result
    combined = type(any_result)(sent=all_sent)
    results = {team: runner.result for team, runner in runners.items()}
    return results, verify_outcomes(combined, ledgers)


async def run_bursts(runner, position, runner_count):
    for step in range(ROUNDS * runner_count):
        is_burst = step % runner_count == position
        await runner.run(
            MEAN_RATE * (BURST_FACTOR if is_burst else IDLE_FACTOR), BURST_S
        )


def row(team, result):
    done = result.count("done")
    urgent = [
        sent.latency_s - WORK_S
        for sent in result.sent
        if sent.kind.urgent and sent.outcome == "done"
    ]
    late = sum(sent.kind.urgent and sent.outcome != "done" for sent in result.sent)
    rate = done / (ROUNDS * (BURST_S + DEADLINE_S - WORK_S))
    p99 = quantile(urgent, 0.99) if urgent else 0.0
    return [
        team,
        len(result.sent),
        done,
        result.count("refused"),
        result.count("unknown"),
        result.count("no_answer"),
        rate,
        rate / (SLOTS / WORK_S),
        p99,
        late == 0 and p99 < URGENT_TARGET_S,
    ]


if __name__ == "__main__":
    main()
