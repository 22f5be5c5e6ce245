"""What a plan book costs: ``python -m benchmarks.plan_book``.

A change to a book of 100,000 accounts beside a copy of a dict of as many; a look-up; and the time from a change at the
writer, committed to a real disk, until each of 3 and of 40 followers on loopback has it. Exit code 1 where a change
takes 1 ms or more in the median.
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


def large(accounts: int) -> Book:
    book = (
        Book("bench")
        .with_change(Version("p", 0, Stamp(1, 1), TERMS))
        .with_change(Version("q", 0, Stamp(1, 2), TERMS))
    )
    for n in range(accounts):
        book = book.with_change(Assignment(f"account-{n}", 0, Stamp(1, n + 3), "p"))
    return book


def spread(seconds: list[float]) -> str:
    micros = sorted(s * 1e6 for s in seconds)
    return f"{statistics.median(micros):.1f} us in the median, {micros[-1]:.1f} at most"


def changes(accounts: int, times: int) -> float:
    """Seconds of a change, in the median."""
    book, copied = large(accounts), {f"account-{n}": ("p", 0) for n in range(accounts)}
    took, beside, looked = list[float](), list[float](), list[float]()
    for n in range(times):
        account = f"account-{n * 37 % accounts}"
        began = time.perf_counter()
        book = book.with_change(Assignment(account, 1 + n, Stamp(1, accounts + 3 + n), "pq"[n % 2]))
        took.append(time.perf_counter() - began)
        began = time.perf_counter()
        copied = {**copied, account: ("q", n)}
        beside.append(time.perf_counter() - began)
        began = time.perf_counter()
        book.binding_version(account, 1 + n)
        looked.append(time.perf_counter() - began)
    ratio = statistics.median(beside) / statistics.median(took)
    print(
        f"a change of {accounts} accounts: {spread(took)}; a dict's copy {spread(beside)}: {ratio:.0f} times"
    )
    print(f"a look-up: {spread(looked)}")
    return statistics.median(took)


async def heard(count: int, times: int) -> None:
    """From a change to the last follower's having it."""
    with tempfile.TemporaryDirectory() as path:
        plan_writer = PlanWriter(Store(DiskFolder(path)), "bench")
        publisher = Publisher(plan_writer, "t")
        address = await publisher.listen("127.0.0.1", 0)
        news = asyncio.Event()
        channels = [
            WriterChannel(WriterAddress(*address, "t"), Follower("bench"), news.set, seed=n)
            for n in range(count)
        ]
        for channel in channels:
            channel.start()
        took = list[float]()
        plan_writer.set_terms("p", TERMS, unix_ms(), unix_ms(), "m")
        for n in range(times + 1):
            began = time.perf_counter()
            now = unix_ms()
            plan_writer.assign_plan(f"account-{n}", "p", now + 5000, now, "m")
            publisher.notify_followers()
            async with asyncio.timeout(20):
                while any(
                    channel.follower.book.last_stamp != plan_writer.book.last_stamp for channel in channels
                ):
                    news.clear()
                    await news.wait()
            if n:  # the first waits for the connections
                took.append(time.perf_counter() - began)
        for channel in channels:
            channel.close()
        await publisher.close()
    print(f"from a change to the last of {count} followers, commit included: {spread(took)}")


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--accounts", type=int, default=100_000)
    parser.add_argument("--times", type=int, default=50)
    options = parser.parse_args(arguments)
    median = changes(options.accounts, options.times)
    for count in (3, 40):
        asyncio.run(heard(count, options.times))
    return int(median >= 1e-3)


if __name__ == "__main__":
    sys.exit(main())
