"""The commands of ``fawnseam plans`` and their exit codes."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import signal
import sys
import time
from contextlib import closing
from pathlib import Path
from typing import Any

from cypresspulley.console import fail
from cypresspulley.plans import book as books
from cypresspulley.plans.book import Book, Change, Version, Withdrawal
from cypresspulley.plans.files import DiskFolder
from cypresspulley.plans.operations import (
    apply_operation,
    find_added_changes,
    find_history,
    reservation_as_json,
)
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import PLANS_PATH, Publisher, unix_ms
from cypresspulley.plans.store import Store, check_generations

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_BAD_INPUT = 2
EXIT_BROKEN = 3
TOKEN_VARIABLE = "FAWNSEAM_PLANS_TOKEN"
CALL_TIMEOUT_SECONDS = 10.0  # seconds


def _print_result(result: Any, as_json: bool, text: str) -> None:
    print(json.dumps(result) if as_json else text)


def _format_instant(instant: int) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(instant / 1000)) + f".{instant % 1000:03} UTC"


def _format_change(change: Change) -> str:
    author = f"  by {change.author}" + (f": {change.reason}" if change.reason else "")
    if isinstance(change, Version):
        terms = change.terms
        ceiling = (
            f", ceiling {terms.ceiling_rate:g}/s of {terms.ceiling_burst:g}" if terms.ceiling_rate else ""
        )
        description = f"{change.plan} gives {terms.rate:g}/s of {terms.burst:g}{ceiling}"
    elif isinstance(change, Withdrawal):
        description = f"{change.target} does not come into force"
    else:
        description = f"{change.account} is on {change.plan}"
    return f"{change.stamp!s:>8}  from {_format_instant(change.effective)}  {description}{author}"


def _open_read_only(folder: Path) -> PlanWriter:
    """Open a stored plan book for reading: take no lock, start no epoch and write nothing."""
    if not folder.is_dir() or not check_generations(DiskFolder(str(folder), writable=False)):
        raise ValueError(f"{folder}: holds no plan book; expected the folder of one")
    return PlanWriter(Store(DiskFolder(str(folder), writable=False), read_only=True), new_epoch=False)


def serve(folder: Path, installation: str, host: str, port: int) -> int:
    """Publish the book until SIGTERM or SIGINT; return the exit code."""
    token = os.environ.get(TOKEN_VARIABLE, "")
    if not token:
        return fail(
            f"{TOKEN_VARIABLE}: expected the token that followers and operators will show", EXIT_BAD_INPUT
        )
    try:
        with closing(DiskFolder(str(folder))) as locked_folder:
            asyncio.run(
                _serve_until_stopped(PlanWriter(Store(locked_folder), installation), token, host, port)
            )
    except OSError as error:
        return fail(error, EXIT_BROKEN)
    except ValueError as error:
        return fail(f"{folder}: {error}", EXIT_BAD_INPUT)
    return EXIT_DONE


async def _serve_until_stopped(plan_writer: PlanWriter, token: str, host: str, port: int) -> None:
    publisher = Publisher(plan_writer, token)
    address = await publisher.listen(host, port)
    print(f"fawnseam plans: {plan_writer!r} at {address[0]}:{address[1]}", file=sys.stderr, flush=True)
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    while not stop.is_set():
        try:
            await asyncio.wait_for(stop.wait(), 1.0)
        except TimeoutError:
            plan_writer.tick(unix_ms())
    await publisher.close()


def run_operation(
    raw: dict[str, Any], store: Path | None, to: str | None, installation: str, as_json: bool
) -> int:
    """Apply one operation through the serving writer (``to``), or in this process where no writer serves (``store``).

    Return the exit code.
    """
    try:
        if to is not None:
            status, done = _call_writer(to, raw)
            if status != 200:
                return fail(
                    done.get("error", f"answered {status}"), EXIT_REFUSED if status == 409 else EXIT_BAD_INPUT
                )
        elif store is not None:
            with closing(DiskFolder(str(store))) as folder:
                done = apply_operation(PlanWriter(Store(folder), installation), raw, unix_ms())
        else:
            return fail("expected --store DIR, or --to HOST:PORT of a writer that serves", EXIT_BAD_INPUT)
    except OSError as error:
        return fail(error, EXIT_BROKEN)
    except ValueError as error:
        return fail(error, EXIT_REFUSED)
    _print_result(done, as_json, _format_result(done))
    return EXIT_REFUSED if done.get("at") == "refused" else EXIT_DONE


def _call_writer(to: str, raw: dict[str, Any]) -> tuple[int, dict[str, Any]]:
    host, _, port = to.rpartition(":")
    if not host or not port.isdigit():
        raise ValueError(f"--to: expected HOST:PORT, got {to!r}")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_SECONDS)
    try:
        headers = {"Authorization": f"Bearer {os.environ.get(TOKEN_VARIABLE, '')}"}
        connection.request("POST", PLANS_PATH, json.dumps(raw), headers)
        answer = connection.getresponse()
        return answer.status, json.loads(answer.read(1 << 20))
    finally:
        connection.close()


def _format_result(done: dict[str, Any]) -> str:
    prefix = "would be: " if done["dry_run"] else ""
    if "change" not in done:
        return f"{prefix}{done['key']} of {done['account']}: {done['at']}, {done['units']:g} units"
    lines = [prefix + _format_change(books.parse_change(done["change"], "change")).strip()]
    for account, by in done["passed_by"].items():
        lines.append(
            f"  {account} may pass its new ceiling by {by:g} units: announced less than a lease ahead"
        )
    return "\n".join(lines)


def show_in_force(store: Path, at: int | None, as_json: bool) -> int:
    """Print the plans, assignments and reservations in force at an instant (Unix milliseconds; None: now)."""
    try:
        plan_writer = _open_read_only(store)
    except (OSError, ValueError) as error:
        return fail(error, EXIT_BAD_INPUT)
    at = unix_ms() if at is None else at
    plans = [
        v
        for plan in sorted(plan_writer.book.plans)
        if (v := plan_writer.book.version_at(plan, at)) is not None
    ]
    assignments = [
        a
        for name in sorted(plan_writer.book.accounts)
        if (a := plan_writer.book.assignment_at(name, at)) is not None
    ]
    reservations = [reservation_as_json(one) for one in plan_writer.reservations.by_key.values()]
    result = {
        "installation": plan_writer.book.installation, "epoch": plan_writer.epoch, "digest": plan_writer.book.digest(),
        "plans": list(map(books.as_json, plans)), "accounts": list(map(books.as_json, assignments)),
        "reservations": reservations,
    }  # fmt: skip
    lines = [repr(plan_writer), *map(_format_change, plans), *map(_format_change, assignments)]
    lines += [f"{r['key']}: {r['account']}, {r['units']:g} units, {r['at']}" for r in reservations]
    _print_result(result, as_json, "\n".join(lines))
    return EXIT_DONE


def show_history(store: Path, name: str, as_json: bool) -> int:
    """Print all changes of one account or plan."""
    try:
        found = find_history(_open_read_only(store).book, name)
    except (OSError, ValueError) as error:
        return fail(error, EXIT_BAD_INPUT)
    _print_result(list(map(books.as_json, found)), as_json, "\n".join(map(_format_change, found)))
    return EXIT_DONE


def show_difference(first: Path, second: Path, as_json: bool) -> int:
    """Print the changes that only one of two books has. Return 1 where they differ."""
    try:
        old, new = _open_read_only(first).book, _open_read_only(second).book
    except (OSError, ValueError) as error:
        return fail(error, EXIT_BAD_INPUT)
    removed, added = find_added_changes(new, old), find_added_changes(old, new)
    result = {"only_first": list(map(books.as_json, removed)), "only_second": list(map(books.as_json, added))}
    lines = [f"- {_format_change(change)}" for change in removed] + [
        f"+ {_format_change(change)}" for change in added
    ]
    _print_result(result, as_json, "\n".join(lines) or f"the same changes: {_format_book(old)}")
    return EXIT_REFUSED if removed or added else EXIT_DONE


def _format_book(book: Book) -> str:
    return f"{len(book.changes_by_stamp)}, digest {book.digest()}"


def check_store(store: Path, as_json: bool) -> int:
    """Print the damage found in a store and what can be recovered. Return 1 unless the newest generation is good."""
    try:
        found = check_generations(DiskFolder(str(store), writable=False))
    except OSError as error:
        return fail(error, EXIT_BAD_INPUT)
    result = [{name: getattr(one, name) for name in one.__slots__} for one in found]
    _print_result(result, as_json, "\n".join(map(str, found)) or f"{store}: holds no plan book")
    return EXIT_DONE if found and found[0].good else EXIT_REFUSED
