"""Prints the summary of a load test."""

from basilwind.load.runner import NO_ANSWER
from basilwind.models import OutcomeKind
from basilwind.output.tables import render_table

QUANTILES = (50.0, 99.0, 99.9)


def summary_rows(result):
    """Returns the rows of the summary table: counts by outcome and latencies.

    Args:
        result: Result of a ``LoadRunner``.
    """
    rows = [["sent", len(result.sent)]]
    rows.append(["jobs accepted", sum(sent.is_accepted for sent in result.sent)])
    for outcome in (*(kind.value for kind in OutcomeKind), NO_ANSWER):
        rows.append([outcome, result.count(outcome)])
    for quantile in QUANTILES:
        microseconds = result.latency.get_value_at_percentile(quantile)
        rows.append([f"latency p{quantile:g} (ms)", microseconds / 1000.0])
    if result.urgent.get_total_count():
        microseconds = result.urgent.get_value_at_percentile(99.0)
        rows.append(["urgent latency p99 (ms)", microseconds / 1000.0])
    return rows


def verification_rows(verification):
    """Returns the rows on what the workers executed, according to their ledgers.

    Args:
        verification: ``VerificationResult``.
    """
    return [
        ["runs on workers", verification.runs],
        ["runs cut off", verification.interrupted],
        ["most slots in use on a worker", max(verification.most_running.values())],
        ["broken rules", len(verification.violations)],
    ]


def print_summary(context, result, verification):
    """Prints the summary of a load test and each rule violation.

    Args:
        context: ``Context`` to write to.
        result: Result of a ``LoadRunner``.
        verification: ``VerificationResult``, or None if nothing was verified.
    """
    rows = summary_rows(result)
    if verification is not None:
        rows += verification_rows(verification)
    context.write(render_table(["what", "value"], rows))
    for violation in verification.violations if verification is not None else ():
        context.write_error(violation)
