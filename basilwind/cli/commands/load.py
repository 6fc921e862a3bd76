"""Runs a bounded load and checks what the workers really ran."""

import anyio

from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.output.load import print_load
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from basilwind.status import ExitStatus


def run(context, mix_file, entries, tokens, workers, rate, seconds, seed):
    """Sends the mix, prints the summary, and fails if it does not add up."""
    mix = load_file(mix_file, LoadMix)
    pairs = dict(token.split("=", 1) for token in tokens)
    teams = {kind.team for kind in mix.kinds}
    by_team = {team: pairs.get(team, f"{team}-token") for team in teams}
    runner = LoadRunner(entries, by_team, mix, context.monotonic, seed)
    verdict = anyio.run(_run, runner, rate, seconds, workers)
    print_load(context, runner.result, verdict)
    if verdict is not None and not verdict.is_consistent:
        return ExitStatus.FAILED
    return ExitStatus.SUCCESS


async def _run(runner, rate, seconds, workers):
    result = await runner.run(rate, seconds)
    if not workers:
        return None
    return verify_outcomes(result, await fetch_ledgers(workers))
