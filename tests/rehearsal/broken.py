"""A small test limiter, correct or with one fault that the judge must detect.

It runs as a process with LB_CONFIG, like the shipped one. The first argument names the fault, or "right" for none.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

# The faults, and the index of the rule that each must break.
FAULTS = {
    "closes-unanswered": 0, "answers-by-half": 0,  # lost answers
    "stays-silent": 0, "makes-answers-up": 0, "answers-late": 0, "answers-twice": 0,
    "repeats-after-reset": 1, "refuses-after-reset": 1,
    "deaf-to-drains": 2, "heeds-drains-late": 2,
    "loves-the-cold": 3, "copies-to-the-cold": 3,
    "without-ceiling": 4, "whole-ceiling-each": 4,
}  # fmt: skip
FAULTY_SHARE = 0.1  # share of the requests that a fault of answers affects
Message = tuple[str, dict[str, str], bytes]


async def read_message(reader: asyncio.StreamReader) -> Message:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip().split("\r\n")
    headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


class Limiter:
    """Keeps the rules unless ``fault`` says otherwise: it splits ceilings evenly, avoids cold servers and never repeats
    unsafe requests.
    """

    def __init__(self, raw: dict[str, Any], fault: str) -> None:
        self.raw, self.fault = raw, fault
        self.settings = raw["settings"]
        self.plans = {p["name"]: p for p in self.settings["tariffs"]}
        self.unsafe = {c["name"] for c in self.settings["classes"] if c["effect"] == "at_most_once"}
        self.hosts = {h["host"]: h for h in raw["known"]["hosts"]}
        self.stores = dict[str, tuple[float, float]]()
        self.open = 0
        self.rng = random.Random(int(raw["seed"], 16))

    async def follow(self) -> None:
        host, port = self.raw["discovery"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /v1/servers?follow=1 HTTP/1.1\r\nHost: d\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        while size := int((await reader.readline()).strip() or b"0", 16):
            line = (await reader.readexactly(size + 2)).strip()
            if line:
                self.apply_server_list(json.loads(line))

    def apply_server_list(self, message: dict[str, Any]) -> None:
        if message["whole"]:
            self.hosts = {}
        for row in message["hosts"]:
            if row["health"] != "ready" and self.fault == "deaf-to-drains":
                continue
            if row["health"] != "ready" and self.fault == "heeds-drains-late":
                asyncio.get_running_loop().call_later(2.0, self.hosts.__setitem__, row["host"], row)
                continue
            self.hosts[row["host"]] = row

    def cold(self, row: dict[str, Any]) -> bool:
        age = time.time() - row["born_ms"] / 1000
        return bool(age < float(self.settings["contract"]["warm_after_s"]) + 1)

    def choose(self, tried: list[str]) -> Any:
        ready = [h for h in self.hosts.values() if h["health"] == "ready" and h["host"] not in tried]
        fresh = [h for h in ready if self.cold(h)]
        if self.fault == "loves-the-cold" and fresh:
            return fresh[0]
        warm = [h for h in ready if not self.cold(h)]
        return self.rng.choice(warm) if warm else None

    def admits(self, plan: str, account: str, spread: int) -> bool:
        facts = self.plans[plan]
        if not facts["never_over_rate"] or self.fault == "without-ceiling":
            return True
        share = 1 if self.fault == "whole-ceiling-each" else spread
        burst, now = facts["hard_burst"] / share, time.monotonic()
        level, at = self.stores.get(account, (burst, now))
        level = min(burst, level + facts["never_over_rate"] / share * (now - at))
        self.stores[account] = (level - (level >= 1), now)
        return bool(level >= 1)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                message = await read_message(reader)
                self.open += 1
                try:
                    if not await self.handle_request(message, writer):
                        break
                finally:
                    self.open -= 1
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def handle_request(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        """Answers one request. Returns False to close the connection."""
        first, headers, _ = message
        target = first.split(" ")[1]
        if target == "/healthz":
            writer.write(answer(200))
            return True
        ttl = int(headers["x-timeout-ms"]) / 1000
        quota = dict(part.split("=") for part in headers["x-quota"].split(","))
        account = target.partition("account=")[2]
        if not self.admits(headers["x-plan"], account, int(quota["spread"])):
            writer.write(answer(429, extra="Retry-After: 0.2\r\n"))
            return True
        try:
            async with asyncio.timeout(ttl * 0.9):
                text = await self.forward(message, headers["x-priority-class"] in self.unsafe)
        except TimeoutError:
            text = answer(504)
        is_faulty = text.startswith(b"HTTP/1.1 200") and self.rng.random() < FAULTY_SHARE
        return await self.write(writer, text, ttl) if is_faulty else self.write_plain(writer, text)

    def write_plain(self, writer: asyncio.StreamWriter, text: bytes) -> bool:
        writer.write(text)
        return True

    async def write(self, writer: asyncio.StreamWriter, text: bytes, ttl: float) -> bool:
        """Writes an answer with the fault. Returns False to close the connection."""
        if self.fault == "closes-unanswered":
            return False
        if self.fault == "answers-by-half":
            writer.write(text[: len(text) // 2])
            return False
        if self.fault == "stays-silent":
            await asyncio.sleep(ttl + 1)
            return False
        if self.fault == "answers-late":
            await asyncio.sleep(ttl + 0.085)
        writer.write(answer(200, b"made up") if self.fault == "makes-answers-up" else text)
        if self.fault == "answers-twice":
            writer.write(text)
        return True

    async def forward(self, message: Message, unsafe: bool) -> bytes:
        tried = list[str]()
        for _ in range(3):
            row = self.choose(tried)
            if row is None:
                break
            tried.append(row["host"])
            status, ran, body = await self.attempt(row, message)
            if status == 200:
                if self.fault == "copies-to-the-cold" and not unsafe:
                    await self.copy(message)
                return answer(200, body)
            if ran and unsafe and self.fault != "repeats-after-reset":
                return answer(429 if self.fault == "refuses-after-reset" else 502)
        return answer(502)

    async def copy(self, message: Message) -> None:
        cold = [h for h in self.hosts.values() if self.cold(h)]
        await asyncio.gather(*(self.attempt(row, message) for row in cold for _ in range(6)))

    async def attempt(self, row: dict[str, Any], message: Message) -> tuple[int, bool, bytes]:
        """Returns the status (0 for none), whether the request may have run, and the body."""
        first, headers, body = message
        host, port = row["dial"].split(":")
        try:
            async with asyncio.timeout(0.25):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return 0, False, b""
        try:
            lines = "".join(f"{key}: {value}\r\n" for key, value in headers.items())
            writer.write(f"{first}\r\n{lines}\r\n".encode("latin-1") + body)
            status, fields, text = await read_message(reader)
            return int(status.split(" ")[1]), "x-not-processed" not in fields, text
        except (OSError, asyncio.IncompleteReadError):
            return 0, True, b""
        finally:
            writer.close()


async def main(fault: str) -> None:
    with open(os.environ["LB_CONFIG"], encoding="utf-8") as file:
        raw = json.load(file)
    stop = asyncio.Event()
    on_sigterm = (lambda: None) if fault == "ignores-sigterm" else stop.set
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, on_sigterm)
    limiter = Limiter(raw, fault)
    following = asyncio.ensure_future(limiter.follow())
    host, port = raw["listen"].split(":")
    serve: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]] = limiter.serve
    server = await asyncio.start_server(serve, host, int(port))
    await stop.wait()
    await asyncio.sleep(0.2)
    server.close()
    while limiter.open:
        await asyncio.sleep(0.02)
    following.cancel()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
