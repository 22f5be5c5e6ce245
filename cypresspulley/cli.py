"""The command ``fawnseam``: one thin subcommand for each tool.

Exit codes: 0 as wished; 1 a rule was broken or a goal missed; 2 bad input; 3 the tool itself could not do its
work, or its run counts for nothing; 130 interrupted.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

try:
    import click
except ImportError:  # the limiter's own requirements do not hold it
    sys.exit("fawnseam: the command line is an extra: pip install 'cypresspulley[rehearsal]'")

FAILED, BAD_INPUT, BROKEN_TOOL, INTERRUPTED = 1, 2, 3, 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """fawnseam: a quota-keeping limiter for shared servers, and its tools.

    \b
    Example:
      fawnseam rehearse wedding-weekend --html weekend.html
    """


@main.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
def limiter(config: str | None) -> None:
    """Run one limiter from CONFIG (default: the file that LB_CONFIG names).

    \b
    Example:
      fawnseam limiter config.json
    Exit codes: 0 drained after SIGTERM; 2 a configuration that cannot be run.
    """
    from cypresspulley.__main__ import main as run_limiter

    if config is not None:
        os.environ["LB_CONFIG"] = config
    sys.exit(run_limiter())


@main.command()
@click.argument("scenario", required=False)
@click.option("--list", "listed", is_flag=True, help="List the shipped scenarios.")
@click.option("--check", metavar="FILE", help="Check a scenario without playing it.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), help="Another day than the scenario's own.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the verdict as JSON.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to look at.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep logs, configurations and records here.")
def rehearse(
    scenario: str | None, listed: bool, check: str | None, seed: int | None,
    json_file: Path | None, html: Path | None, logs: Path | None,
) -> None:  # fmt: skip
    """Play SCENARIO (a shipped name or a TOML file) against real limiters and judge the five rules.

    \b
    Examples:
      fawnseam rehearse --list
      fawnseam rehearse wedding-weekend --html weekend.html
      fawnseam rehearse my-weekend.toml --seed 7 --json verdict.json --logs logs
    \b
    Exit codes: 0 all rules kept and the goal met; 1 a rule broken, a limiter
    crashed or the goal missed; 2 bad input; 3 the kit could not play or ran too
    late to judge (the run is void); 130 interrupted.
    """
    from cypresspulley.rehearsal import command

    if listed:
        sys.exit(command.list_scenarios())
    if check is not None:
        sys.exit(command.check(check))
    if scenario is None:
        raise click.UsageError("SCENARIO is missing; --list shows the shipped ones")
    sys.exit(command.rehearse(scenario, seed, command.Outputs(json_file, html, logs)))


@main.command()
@click.argument("log", type=click.Path(path_type=Path))
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the verdict as JSON.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to look at.")
def judge(log: Path, json_file: Path | None, html: Path | None) -> None:
    """Judge a kept LOG again (records.jsonl of --logs): the same verdict.

    \b
    Example:
      fawnseam judge logs/records.jsonl --html again.html
    Exit codes: as of rehearse; 2 also for a log that cannot be read.
    """
    from cypresspulley.rehearsal import command

    sys.exit(command.judge_log(log, command.Outputs(json_file, html, None)))


if __name__ == "__main__":
    main()
