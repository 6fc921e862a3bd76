"""Runs a load test and verifies the outcomes against the workers' ledgers."""

import anyio

from basilwind.load.runner import LoadRunner
from basilwind.load.verify import fetch_ledgers, verify_outcomes
from basilwind.output.load import print_summary
from basilwind.settings.generated.load import LoadMix
from basilwind.settings.loader import load_file
from basilwind.status import ExitStatus


def run(context, mix_file, entries, tokens, workers, rate, seconds, seed):
    """Sends the mix and prints a summary; fails if the outcomes are inconsistent."""
    mix = load_file(mix_file, LoadMix)
    pairs = dict(token.split("=", 1) for token in tokens)
    teams = {kind.team for kind in mix.kinds}
    team_tokens = {team: pairs.get(team, f"{team}-token") for team in teams}
    runner = LoadRunner(entries, team_tokens, mix, context.monotonic, seed)
    verification = anyio.run(_run, runner, rate, seconds, workers)
    print_summary(context, runner.result, verification)
    if verification is not None and not verification.is_consistent:
        return ExitStatus.FAILED
    return ExitStatus.SUCCESS


async def _run(runner, rate, seconds, workers):
    result = await runner.run(rate, seconds)
    if not workers:
        return None
    return verify_outcomes(result, await fetch_ledgers(workers))
