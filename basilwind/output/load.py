"""Prints the summary of a load."""

from basilwind.load.runner import NO_ANSWER
from basilwind.models import OutcomeKind
from basilwind.output.tables import render_table

QUANTILES = (50.0, 99.0, 99.9)


def summary_rows(result):
    """Returns the rows of a load's summary table."""
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


def verdict_rows(verdict):
    """Returns the rows that tell what the workers really ran."""
    return [
        ["runs on workers", verdict.runs],
        ["runs cut off", verdict.interrupted],
        ["most slots in use on a worker", max(verdict.most_running.values())],
        ["broken rules", len(verdict.violations)],
    ]


def print_load(context, result, verdict):
    """Prints a load's summary and each broken rule."""
    rows = summary_rows(result)
    if verdict is not None:
        rows += verdict_rows(verdict)
    context.write(render_table(["what", "value"], rows))
    for violation in verdict.violations if verdict is not None else ():
        context.write_error(violation)
