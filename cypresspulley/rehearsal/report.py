"""Prints a verdict for a terminal."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from cypresspulley.rehearsal.judge import Verdict

MAX_SHOWN = 5  # violations per rule; the JSON output and the HTML page have the rest


def print_verdict(verdict: Verdict, console: Console | None = None) -> None:
    """Print the rules, then the figures, then the conclusion."""
    console = console or Console(highlight=False, markup=False, soft_wrap=True)
    day, service = verdict.day, verdict.service
    console.print(f"{day.scenario}, seed {day.seed}, plan {day.digest}")
    for rule in verdict.rules:
        word = "kept  " if rule.kept else "BROKEN"
        console.print(f"  {word} {rule.rule} (held against {rule.checked} events)")
        for v in rule.violations[:MAX_SHOWN]:
            console.print(f"         {v.t:.3f} s {v.limiter} {v.request}: {v.text}")
        if len(rule.violations) > MAX_SHOWN:
            console.print(f"         and {len(rule.violations) - MAX_SHOWN} more")
    for one in verdict.histories:
        word = "BROKEN" if one.findings else "kept  "
        console.print(f"  {word} histories: {one.name} (held against {one.checked} events)")
        for text in one.findings[:MAX_SHOWN]:
            console.print("         " + text.replace("\n", "\n           "))
        if len(one.findings) > MAX_SHOWN:
            console.print(f"         and {len(one.findings) - MAX_SHOWN} more")
    console.print(
        f"service {service.service:.3f} (goal {day.goal:.2f}): whole {service.whole:.3f}, worst 10 s "
        f"{service.worst_10s:.3f} from {service.worst_10s_at:.0f} s, worst plan {service.worst_plan:.3f}, "
        f"prices {sum(service.prices.values()):.3f}"
    )
    console.print(_table("plan", service.by_plan))
    console.print(_table("class", service.by_class))
    console.print(", ".join(f"{key.replace('_', ' ')} {n}" for key, n in service.counts.items()))
    console.print(_limiters(verdict))
    console.print(f"the kit ran {verdict.late_p99 * 1000:.1f} ms late (99th percentile)")
    console.print(conclusion(verdict))


def conclusion(verdict: Verdict) -> str:
    """Return the conclusion in one sentence."""
    if verdict.void:
        return f"VOID: {verdict.void}"
    if verdict.crash:
        return f"FAILED: {verdict.crash}"
    broken = [rule.rule for rule in verdict.rules if not rule.kept]
    broken += [f"what {one.name} promises" for one in verdict.histories if one.findings]
    if broken:
        return f"FAILED: broken: {', '.join(broken)}"
    if not verdict.passed:
        return f"FAILED: rules kept, but {', '.join(verdict.missed_goals)}"
    promises = f", the promises of {', '.join(one.name for one in verdict.histories)} kept"
    return f"PASSED: all five rules kept{promises * bool(verdict.histories)}, the goal met"


def _table(what: str, shares: dict[str, float]) -> Table:
    table = Table(what, "service inside quotas", box=None, pad_edge=False)
    for name, share in shares.items():
        table.add_row(name, f"{share:.3f}")
    return table


def _limiters(verdict: Verdict) -> Table:
    table = Table("limiter", "CPU s", "memory MB", "restarts", box=None, pad_edge=False)
    for u in verdict.limiters:
        table.add_row(u.limiter, *u.shown(), str(u.restarts))
    return table
