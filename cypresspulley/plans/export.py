"""A limiter's use on its way to the writer: cut each second, told until it is acknowledged."""

from __future__ import annotations

import asyncio
import json
import logging

from cypresspulley.plans.channel import EndedError, Where
from cypresspulley.plans.usage import UsageRecord, UsageRecorder

log = logging.getLogger(__name__)

EVERY = 1.0  # seconds between two cuts: what a kill loses, beside what waits for its acknowledgement
CALL_WAIT = 3.0  # seconds
MOST_ANSWER = 65_536  # bytes


class Export:
    """Tells one gatherer's records, the oldest first, one at a time."""

    def __init__(self, where: Where, usage_recorder: UsageRecorder, every: float = EVERY) -> None:
        self._where, self._usage_recorder, self._every = where, usage_recorder, every
        self._task: asyncio.Task[None] | None = None
        self.why = ""  # the last call failed

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(self._every)
            self._usage_recorder.cut_record()
            try:
                await self.flush()
            except (OSError, EOFError, EndedError, asyncio.LimitOverrunError, ValueError) as error:
                if str(error) != self.why:
                    log.warning("plans: use was not exported: %s", error or repr(error))
                self.why = str(error)

    async def flush(self) -> None:
        """Tell all that waits; ``OSError``, ``EndedError`` and the like where the writer does not take it."""
        for record in sorted(
            self._usage_recorder.unacknowledged.values(), key=lambda one: (one.epoch, one.seq)
        ):
            if await self._told(record):
                self._usage_recorder.acknowledge(record.epoch, record.seq)

    async def _told(self, record: UsageRecord) -> bool:
        body = json.dumps(
            {"wish": "use", "author": record.writer, "record": record.as_json()}, separators=(",", ":")
        ).encode()
        async with asyncio.timeout(CALL_WAIT):
            reader, writer = await asyncio.open_connection(
                self._where.host, self._where.port, limit=MOST_ANSWER
            )
            try:
                writer.write(
                    b"POST /v1/plans HTTP/1.1\r\nHost: plans\r\nConnection: close\r\n"
                    + f"Authorization: Bearer {self._where.token}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await reader.read(MOST_ANSWER)
                while len(answer) < MOST_ANSWER and (more := await reader.read(MOST_ANSWER)):
                    answer += more
            finally:
                writer.transport.abort()
        head, _, text = answer.partition(b"\r\n\r\n")
        if b" 200 " not in head.split(b"\r\n", 1)[0]:
            raise EndedError(f"{record.idempotency_key}: answered {head[:40]!r} {text[:200]!r}")
        return json.loads(text).get("acknowledged") is True
