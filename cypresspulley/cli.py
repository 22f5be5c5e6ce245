"""The command ``fawnseam``, with one thin subcommand for each tool.

Exit codes: 0 success; 1 a rule was broken or a goal was missed; 2 bad input; 3 the tool itself failed or its run is
void; 130 interrupted.
"""

from __future__ import annotations

import os
import sys
from collections.abc import Callable
from pathlib import Path

try:
    import click
except ImportError:  # click is not among the limiter's own requirements
    sys.exit("fawnseam: the command line is an extra: pip install 'cypresspulley[rehearsal]'")

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_BROKEN_TOOL = 3
EXIT_INTERRUPTED = 130


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """fawnseam: a quota-keeping limiter for shared servers, and its tools.

    \b
    Example:
      fawnseam rehearse wedding-weekend --html weekend.html
    """


@main.command()
@click.argument("config", required=False, type=click.Path(dir_okay=False))
@click.option("--operators", metavar="FILE", help="What is switched on beside the configuration (TOML).")
def limiter(config: str | None, operators: str | None) -> None:
    """Run one limiter from CONFIG (default: the file that LB_CONFIG names).

    \b
    Example:
      fawnseam limiter config.json
    Exit codes: 0 drained after SIGTERM; 2 a configuration that cannot be run.
    """
    from cypresspulley.__main__ import main as run_limiter

    if config is not None:
        os.environ["LB_CONFIG"] = config
    sys.exit(run_limiter(["--operators", operators] if operators else []))


@main.command()
@click.argument("scenario", required=False)
@click.option("--list", "listed", is_flag=True, help="List the shipped scenarios.")
@click.option("--check", metavar="FILE", help="Check a scenario without playing it.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), help="Another day than the scenario's own.")
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the verdict as JSON.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to look at.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep logs, configurations and records here.")
@click.option("--har", type=click.Path(path_type=Path), help="Write what the clients sent and got as HAR.")
@click.option("--virtual", is_flag=True, help="In virtual time, in this process: one seed is one trace.")
def rehearse(
    scenario: str | None, listed: bool, check: str | None, seed: int | None,
    json_file: Path | None, html: Path | None, logs: Path | None, har: Path | None,
    virtual: bool,
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
    sys.exit(command.rehearse(scenario, seed, command.Outputs(json_file, html, logs, har), virtual))


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


@main.command()
@click.argument("scenario")
@click.option(
    "--seeds", type=click.IntRange(1, 10_000_000), default=1000, show_default=True, help="How many days."
)
@click.option("--first", type=click.IntRange(0, 2**62), default=0, show_default=True, help="The first seed.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Processes side by side."
)
@click.option(
    "--minutes", type=click.FloatRange(0, 100_000), default=0.0, help="Stop after so long; 0: never."
)
@click.option("--seconds", type=click.FloatRange(1, 600), default=6.0, show_default=True, help="Of a day.")
@click.option(
    "--inside",
    type=click.FloatRange(1, 5000),
    default=30.0,
    show_default=True,
    help="Requests a second inside the quotas; servers and keeper shrink with it.",
)
@click.option("--keep-going", is_flag=True, help="Do not stop at the first find; one of each sort is shrunk.")
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=Path("finds"),
    show_default=True,
    help="Where scenario files of finds go.",
)
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="Write finds and coverage as JSON."
)
@click.option("--png", type=click.Path(path_type=Path), help="Write a picture of the coverage.")
@click.option("--operators", is_flag=True, help="Operators drain limiters and take servers out, too.")
@click.option("--again", is_flag=True, help="Play SCENARIO once as it is, with all checks: a find again.")
def explore(
    scenario: str, seeds: int, first: int, jobs: int, minutes: float, seconds: float, inside: float,
    keep_going: bool, out: Path, json_file: Path | None, png: Path | None, operators: bool, again: bool,
) -> None:  # fmt: skip
    """Search SCENARIO (a name, a TOML file, or all) in virtual time for a day that breaks a rule.

    \b
    Examples:
      fawnseam explore wedding-weekend --seeds 2000 --jobs 8
      fawnseam explore all --seeds 500 --jobs 8 --keep-going --png coverage.png
      fawnseam explore finds/hall-cut-17-no-effect-twice.toml --again
    \b
    Exit codes: 0 nothing found; 1 something found (its scenario file is named);
    2 bad input; 3 a file could not be written; 130 interrupted.
    """
    from cypresspulley.explore import command
    from cypresspulley.explore.search import SearchOptions

    if again:
        sys.exit(command.replay(scenario))
    options = SearchOptions(seeds, first, jobs, minutes, seconds, inside, keep_going, operators)
    sys.exit(command.explore(scenario, options, command.Outputs(out, json_file, png)))


def _add_capture_options(function: Callable[..., None]) -> Callable[..., None]:
    """Add the arguments and options of the commands that read captures."""
    for option in reversed((
        click.argument("files", nargs=-1, required=True),
        click.option("--kind", type=click.Choice(("auto", "har", "json", "combined", "common", "envoy", "haproxy")),
                     default="auto", show_default=True, help="What the files are."),
        click.option("--format", "notation", default="", help="Lines in nginx's log_format notation."),
        click.option("--mapping", metavar="FILE", help="How account, class and plan are found (TOML)."),
        click.option("--strict", is_flag=True, help="A broken line or entry is an error (exit 2)."),
        click.option("--patience", type=click.FloatRange(0, 600), default=5.0, show_default=True,
                     help="Seconds in which a client tries again."),
    )):  # fmt: skip
        function = option(function)
    return function


@main.group()
def capture() -> None:
    """Look at captured load: HAR files and access logs, gzip and zstd too.

    \b
    Example:
      fawnseam capture inspect tablet.har limiter-*.jsonl --html capture.html
    """


@capture.command("inspect")
@_add_capture_options
@click.option("--json", "json_file", type=click.Path(path_type=Path), help="Write the figures as JSON.")
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to look at.")
def capture_inspect(
    files: tuple[str, ...], kind: str, notation: str, mapping: str | None, strict: bool, patience: float,
    json_file: Path | None, html: Path | None,
) -> None:  # fmt: skip
    """Print what FILES hold: mix, accounts, rate, retries, clock skew, what could not be read.

    \b
    Example:
      fawnseam capture inspect a.jsonl b.jsonl c.jsonl.gz --json figures.json
    Exit codes: 0 read (broken places are listed); 2 bad input; 3 a file could not be written.
    """
    from cypresspulley.capture import command
    from cypresspulley.capture.planning import CaptureInput

    what = CaptureInput(files, kind, notation, mapping, strict, patience)
    sys.exit(command.inspect(what, json_file, html))


@capture.command("scrub")
@_add_capture_options
@click.option(
    "--out", type=click.Path(path_type=Path), required=True, help="The capture to write (JSON lines)."
)
@click.option(
    "--key", metavar="FILE", help="Key of the renaming, 16 to 64 bytes; default: drawn and forgotten."
)
def capture_scrub(
    files: tuple[str, ...], kind: str, notation: str, mapping: str | None, strict: bool, patience: float,
    out: Path, key: str | None,
) -> None:  # fmt: skip
    """Write FILES as one capture without secrets and with accounts renamed by a keyed hash.

    \b
    Example:
      fawnseam capture scrub tablet.har --out shareable.jsonl --key key.bin
    Exit codes: 0 written; 2 bad input; 3 the file could not be written.
    """
    from cypresspulley.capture import command
    from cypresspulley.capture.planning import CaptureInput

    sys.exit(command.scrub(CaptureInput(files, kind, notation, mapping, strict, patience), out, key))


@main.command()
@_add_capture_options
@click.option(
    "--against", multiple=True, metavar="HOST:PORT", help="Limiters that run; default: the kit's own."
)
@click.option("--speed", type=click.FloatRange(0.01, 1000), default=1.0, show_default=True)
@click.option("--stretch-accounts", type=click.IntRange(1, 1000), default=1, show_default=True,
              help="Each account becomes so many.")  # fmt: skip
@click.option("--from", "start", type=float, default=0.0, help="Seconds into the capture to begin at.")
@click.option("--to", "end", type=float, default=float("inf"), help="Seconds into the capture to end at.")
@click.option("--clients", is_flag=True, help="Scripted clients retry; the captured retries stay out.")
@click.option("--seed", type=click.IntRange(0, 2**63 - 1), default=1, show_default=True)
@click.option(
    "--scenario", default="calm-morning", show_default=True, help="Fleet, plans, classes and faults."
)
@click.option(
    "--json", "json_file", type=click.Path(path_type=Path), help="Write the verdict or report as JSON."
)
@click.option("--html", type=click.Path(path_type=Path), help="Write a page to look at.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keep logs, configurations and records here.")
def replay(
    files: tuple[str, ...], kind: str, notation: str, mapping: str | None, strict: bool, patience: float,
    against: tuple[str, ...], speed: float, stretch_accounts: int, start: float, end: float, clients: bool,
    seed: int, scenario: str, json_file: Path | None, html: Path | None, logs: Path | None,
) -> None:  # fmt: skip
    """Play captured FILES again, open loop, against the kit's stand-ins or running limiters.

    \b
    Examples:
      fawnseam replay morning.har --html morning.html
      fawnseam replay a.jsonl b.jsonl --speed 2 --stretch-accounts 3 --clients
      fawnseam replay a.jsonl --against 127.0.0.1:7070 --from 60 --to 120
    Exit codes: as of rehearse; with --against 0 once all was sent.
    """
    from cypresspulley.capture import command
    from cypresspulley.capture.arrivals import ReplayOptions
    from cypresspulley.capture.planning import CaptureInput
    from cypresspulley.rehearsal.command import Outputs

    sys.exit(
        command.replay(
            CaptureInput(files, kind, notation, mapping, strict, patience),
            ReplayOptions(speed, stretch_accounts, start, end, clients), seed, scenario, against,
            Outputs(json_file, html, logs),
        )
    )  # fmt: skip


@main.command(name="graphql-cost")
@click.argument("schema")
@click.argument("query", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--operation", metavar="NAME", help="Which operation of the document.")
@click.option(
    "--variables", type=click.Path(path_type=Path, exists=True, dir_okay=False), help="A JSON object."
)
@click.option("--json", "as_json", is_flag=True, help="JSON in place of a table.")
def graphql_cost(
    schema: str, query: Path, operation: str | None, variables: Path | None, as_json: bool
) -> None:
    """Print where the price of QUERY comes from, field by field. SCHEMA: SDL, or an operators' file (.toml).

    \b
    Example:
      fawnseam graphql-cost deploy/graphql.toml examples/graphql/floor.query.graphql --variables values.json
    Exit codes: 0 priced; 1 such a query is refused; 2 bad input.
    """
    from cypresspulley.graphql import command

    sys.exit(command.print_cost(schema, query, operation, variables, as_json))


@main.command(name="graphql-learn")
@click.argument("schema")
@click.argument("capture", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option(
    "--out", type=click.Path(path_type=Path), help="Write what `learned` in an operators' file names."
)
def graphql_learn(schema: str, capture: Path, out: Path | None) -> None:
    """Fit expected prices to CAPTURE (JSON lines of query, variables, actual; or HAR) and say how sure each is.

    \b
    Example:
      fawnseam graphql-learn deploy/graphql.toml examples/graphql/costs.jsonl --out shares.json
    Exit codes: 0 fitted; 2 bad input, or too little of it.
    """
    from cypresspulley.graphql import command

    sys.exit(command.learn_from_capture(schema, capture, out))


@main.group()
def plans() -> None:
    """Plans changing in service: versions, assignments, reservations, their writer and their store.

    \b
    Examples:
      fawnseam plans serve book --installation vadodara --listen 127.0.0.1:8600
      fawnseam plans change --store book --author meera --plan business --rate 3 --burst 12 \\
        --ceiling-rate 5 --ceiling-burst 24 --effective +10
      fawnseam plans check book
    Exit codes: 0 done; 1 refused, or different, or damaged; 2 bad input; 3 the store or the writer cannot be used.
    """


_STORE_OPTION = click.option(
    "--store", type=click.Path(path_type=Path), help="The book's folder, where no writer serves it."
)
_WRITER_OPTION = click.option(
    "--to", metavar="HOST:PORT", help="The writer that serves the book (FAWNSEAM_PLANS_TOKEN)."
)
_INSTALLATION_OPTION = click.option(
    "--installation", default="", help="The installation; needed for a new store."
)
_AUTHOR_OPTION = click.option("--author", required=True, help="Who wants it.")
_REASON_OPTION = click.option("--reason", default="", help="Why.")
_DRY_RUN_OPTION = click.option(
    "--dry-run", is_flag=True, help="Change nothing; say what would be, and who would be over."
)
_JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Tell it as JSON.")
_EFFECTIVE_OPTION = click.option(
    "--effective", help="Unix milliseconds or +SECONDS; a lease ahead by itself."
)


def _parse_effective(text: str | None) -> dict[str, int | str]:
    if text is None:
        return {}
    return {"effective": int(text) if text.isdigit() else text}


@plans.command("serve")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--installation", default="", help="The installation; needed for a new store.")
@click.option("--listen", default="127.0.0.1:8600", metavar="HOST:PORT", show_default=True)
def plans_serve(folder: Path, installation: str, listen: str) -> None:
    """Publish the book in FOLDER to limiters, and take changes, until SIGTERM."""
    from cypresspulley.plans import command

    host, _, port = listen.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"expected HOST:PORT, got {listen!r}")
    sys.exit(command.serve(folder, installation, host, int(port)))


@plans.command("change")
@_STORE_OPTION
@_WRITER_OPTION
@_INSTALLATION_OPTION
@click.option("--plan", required=True)
@click.option("--rate", type=float, required=True, help="Units a second.")
@click.option("--burst", type=float, required=True, help="Units.")
@click.option("--ceiling-rate", type=float, default=0.0)
@click.option("--ceiling-burst", type=float, default=0.0)
@click.option("--worth", type=float, default=1.0, help="Of a unit.")
@click.option("--cap", type=int, default=0, help="Requests out at once; 0: no cap.")
@_EFFECTIVE_OPTION
@_AUTHOR_OPTION
@_REASON_OPTION
@_DRY_RUN_OPTION
@_JSON_OPTION
def plans_change(
    store: Path | None, to: str | None, installation: str, plan: str, rate: float, burst: float, ceiling_rate: float,
    ceiling_burst: float, worth: float, cap: int, effective: str | None, author: str, reason: str, dry_run: bool,
    as_json: bool,
) -> None:  # fmt: skip
    """Give a plan new terms from an instant on."""
    from cypresspulley.plans import command

    terms = {
        "rate": rate, "burst": burst, "ceiling_rate": ceiling_rate, "ceiling_burst": ceiling_burst, "worth": worth,
        "cap": cap,
    }  # fmt: skip
    raw = {"wish": "change", "plan": plan, "terms": terms, **_parse_effective(effective)}
    options = {"author": author, "reason": reason, "dry_run": dry_run}
    sys.exit(command.run_operation({**raw, **options}, store, to, installation, as_json))


@plans.command("assign")
@click.argument("account")
@click.argument("plan")
@_STORE_OPTION
@_WRITER_OPTION
@_INSTALLATION_OPTION
@_EFFECTIVE_OPTION
@_AUTHOR_OPTION
@_REASON_OPTION
@_DRY_RUN_OPTION
@_JSON_OPTION
def plans_assign(
    account: str, plan: str, store: Path | None, to: str | None, installation: str, effective: str | None,
    author: str, reason: str, dry_run: bool, as_json: bool,
) -> None:  # fmt: skip
    """Put ACCOUNT on PLAN from an instant on."""
    from cypresspulley.plans import command

    raw = {"wish": "assign", "account": account, "plan": plan, **_parse_effective(effective)}
    options = {"author": author, "reason": reason, "dry_run": dry_run}
    sys.exit(command.run_operation({**raw, **options}, store, to, installation, as_json))


@plans.command("reserve")
@click.argument("key")
@click.argument("account")
@click.argument("units", type=float)
@click.option("--start", required=True, help="Unix milliseconds or +SECONDS.")
@click.option("--end", required=True, help="Unix milliseconds or +SECONDS.")
@click.option("--fleet-rate", type=float, required=True, help="Units a second that the fleet may set aside.")
@click.option("--purpose", default="")
@_STORE_OPTION
@_WRITER_OPTION
@_INSTALLATION_OPTION
@_AUTHOR_OPTION
@_REASON_OPTION
@_DRY_RUN_OPTION
@_JSON_OPTION
def plans_reserve(
    key: str, account: str, units: float, start: str, end: str, fleet_rate: float, purpose: str, store: Path | None,
    to: str | None, installation: str, author: str, reason: str, dry_run: bool, as_json: bool,
) -> None:  # fmt: skip
    """Set UNITS aside for ACCOUNT's event; KEY names it, and the same again changes nothing."""
    from cypresspulley.plans import command

    window = {name: int(text) if text.isdigit() else text for name, text in (("start", start), ("end", end))}
    raw = {
        "wish": "reserve",
        "key": key,
        "account": account,
        "units": units,
        "fleet_rate": fleet_rate,
        **window,
    }
    options = {"purpose": purpose, "author": author, "reason": reason, "dry_run": dry_run}
    sys.exit(command.run_operation({**raw, **options}, store, to, installation, as_json))


@plans.command("release")
@click.argument("key")
@_STORE_OPTION
@_WRITER_OPTION
@_INSTALLATION_OPTION
@_AUTHOR_OPTION
@_REASON_OPTION
@_JSON_OPTION
def plans_release(
    key: str, store: Path | None, to: str | None, installation: str, author: str, reason: str, as_json: bool
) -> None:
    """Give back what is not drawn of a reservation; a second time changes nothing."""
    from cypresspulley.plans import command

    raw = {"wish": "release", "key": key, "author": author, "reason": reason}
    sys.exit(command.run_operation(raw, store, to, installation, as_json))


@plans.command("show")
@click.argument("folder", type=click.Path(path_type=Path))
@click.option("--at", type=int, help="Unix milliseconds; now by itself.")
@_JSON_OPTION
def plans_show(folder: Path, at: int | None, as_json: bool) -> None:
    """What is in force."""
    from cypresspulley.plans import command

    sys.exit(command.show_in_force(folder, at, as_json))


@plans.command("history")
@click.argument("folder", type=click.Path(path_type=Path))
@click.argument("name")
@_JSON_OPTION
def plans_history(folder: Path, name: str, as_json: bool) -> None:
    """All that was said of an account or a plan."""
    from cypresspulley.plans import command

    sys.exit(command.show_history(folder, name, as_json))


@plans.command("diff")
@click.argument("one", type=click.Path(path_type=Path))
@click.argument("other", type=click.Path(path_type=Path))
@_JSON_OPTION
def plans_diff(one: Path, other: Path, as_json: bool) -> None:
    """Changes that only one of two books has."""
    from cypresspulley.plans import command

    sys.exit(command.show_difference(one, other, as_json))


@plans.command("check")
@click.argument("folder", type=click.Path(path_type=Path))
@_JSON_OPTION
def plans_check(folder: Path, as_json: bool) -> None:
    """What is damaged in a book's folder, and what can be saved; changes nothing."""
    from cypresspulley.plans import command

    sys.exit(command.check_store(folder, as_json))


if __name__ == "__main__":
    main()
