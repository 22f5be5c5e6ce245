"""Measures the cost of a plan book: ``python -m benchmarks.plan_book``.

Times a change to a book of 100,000 accounts compared with copying a dict of the same size, a lookup, and the delay from
a change at the writer, committed to disk, until each of 3 and of 40 followers on loopback has it. The exit code is 1
where the median of a change is 1 ms or more.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import sys
import tempfile
import time

from cypresspulley.plans.book import Assignment, Book, Stamp, Terms, Version
from cypresspulley.plans.channel import WriterAddress, WriterChannel
from cypresspulley.plans.files import DiskFolder
from cypresspulley.plans.follow import Follower
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.serve import Publisher, unix_ms
from cypresspulley.plans.store import Store

TERMS = Terms(3.0, 12.0, 5.0, 24.0)


def make_book(accounts: int) -> Book:
    book = (
        Book("bench")
        .with_change(Version("p", 0, Stamp(1, 1), TERMS))
        .with_change(Version("q", 0, Stamp(1, 2), TERMS))
    )
    for n in range(accounts):
        book = book.with_change(Assignment(f"account-{n}", 0, Stamp(1, n + 3), "p"))
    return book


def format_durations(seconds: list[float]) -> str:
    micros = sorted(s * 1e6 for s in seconds)
    return f"{statistics.median(micros):.1f} us in the median, {micros[-1]:.1f} at most"


def measure_changes(accounts: int, times: int) -> float:
    """Prints the duration of a change and a lookup; returns the median of a change in seconds."""
    book, copied = make_book(accounts), {f"account-{n}": ("p", 0) for n in range(accounts)}
    change_durations, copy_durations, lookup_durations = list[float](), list[float](), list[float]()
    for n in range(times):
        account = f"account-{n * 37 % accounts}"
        started = time.perf_counter()
        book = book.with_change(Assignment(account, 1 + n, Stamp(1, accounts + 3 + n), "pq"[n % 2]))
        change_durations.append(time.perf_counter() - started)
        started = time.perf_counter()
        copied = {**copied, account: ("q", n)}
        copy_durations.append(time.perf_counter() - started)
        started = time.perf_counter()
        book.binding_version(account, 1 + n)
        lookup_durations.append(time.perf_counter() - started)
    ratio = statistics.median(copy_durations) / statistics.median(change_durations)
    print(
        f"a change of {accounts} accounts: {format_durations(change_durations)}; "
        f"a dict's copy {format_durations(copy_durations)}: {ratio:.0f} times"
    )
    print(f"a look-up: {format_durations(lookup_durations)}")
    return statistics.median(change_durations)


async def measure_propagation(count: int, times: int) -> None:
    """Prints the time from a change until the last of ``count`` followers has it."""
    with tempfile.TemporaryDirectory() as path:
        plan_writer = PlanWriter(Store(DiskFolder(path)), "bench")
        publisher = Publisher(plan_writer, "t")
        address = await publisher.listen("127.0.0.1", 0)
        change_event = asyncio.Event()
        channels = [
            WriterChannel(WriterAddress(*address, "t"), Follower("bench"), change_event.set, seed=n)
            for n in range(count)
        ]
        for channel in channels:
            channel.start()
        change_durations = list[float]()
        plan_writer.set_terms("p", TERMS, unix_ms(), unix_ms(), "m")
        for n in range(times + 1):
            started = time.perf_counter()
            now = unix_ms()
            plan_writer.assign_plan(f"account-{n}", "p", now + 5000, now, "m")
            publisher.notify_followers()
            async with asyncio.timeout(20):
                while any(
                    channel.follower.book.last_stamp != plan_writer.book.last_stamp for channel in channels
                ):
                    change_event.clear()
                    await change_event.wait()
            if n:  # the first includes connecting
                change_durations.append(time.perf_counter() - started)
        for channel in channels:
            channel.close()
        await publisher.close()
    print(
        f"from a change to the last of {count} followers, commit included: {format_durations(change_durations)}"
    )


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--accounts", type=int, default=100_000)
    parser.add_argument("--times", type=int, default=50)
    options = parser.parse_args(arguments)
    median = measure_changes(options.accounts, options.times)
    for count in (3, 40):
        asyncio.run(measure_propagation(count, options.times))
    return int(median >= 1e-3)


if __name__ == "__main__":
    sys.exit(main())
