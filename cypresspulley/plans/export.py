"""Exports a limiter's usage to the writer: cuts a record each second and sends it until it is acknowledged."""

from __future__ import annotations

import asyncio
import json
import logging

from cypresspulley.plans.channel import ConnectionEndedError, WriterAddress
from cypresspulley.plans.usage import UsageRecord, UsageRecorder

log = logging.getLogger(__name__)

# Seconds between two records. A killed limiter loses the usage of this time and the unacknowledged records.
EXPORT_INTERVAL_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 3.0  # seconds
MAX_ANSWER_BYTES = 65_536  # bytes
REFUSED_RETRY_SECONDS = 30.0  # until a record is sent again that the writer refused for its content
REFUSAL_STATUSES = frozenset((b"400", b"409", b"413"))


class RecordRefusedError(Exception):
    """The writer refused a record for its content. The text gives its answer."""


class UsageExporter:
    """Sends the records of one usage recorder, the oldest first, one at a time."""

    def __init__(
        self,
        address: WriterAddress,
        usage_recorder: UsageRecorder,
        interval_s: float = EXPORT_INTERVAL_SECONDS,
    ) -> None:
        self._address, self._usage_recorder, self._interval_s = address, usage_recorder, interval_s
        self._task: asyncio.Task[None] | None = None
        self._logged_dropped_units = 0
        self._retry_at = dict[tuple[int, int], float]()  # of refused records, on the loop's clock
        self.last_error = ""  # why the last call failed

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._export_periodically())

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()

    async def _export_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._interval_s)
            self._usage_recorder.cut_records()
            self._log_dropped_units()
            try:
                await self.flush()
            except (OSError, EOFError, ConnectionEndedError, asyncio.LimitOverrunError, ValueError) as error:
                if str(error) != self.last_error:
                    log.warning("plans: use was not exported: %s", error or repr(error))
                self.last_error = str(error)

    def _log_dropped_units(self) -> None:
        dropped = self._usage_recorder.dropped_units
        if dropped != self._logged_dropped_units:
            log.error("plans: too much use waits for the writer; %d micro-units were dropped so far", dropped)
        self._logged_dropped_units = dropped

    async def flush(self) -> None:
        """Send all unacknowledged records, but for those that were refused within ``REFUSED_RETRY_SECONDS``.

        A record that the writer refuses is kept, and does not hold up those behind it. Raise ``OSError``, ``EOFError``,
        ``ConnectionEndedError`` or ``ValueError`` where the writer cannot be reached or accepts nothing.
        """
        now = asyncio.get_running_loop().time()
        for key in sorted(self._usage_recorder.unacknowledged):
            if now >= self._retry_at.get(key, now):
                await self._export_record(key, self._usage_recorder.unacknowledged[key])

    async def _export_record(self, key: tuple[int, int], record: UsageRecord) -> None:
        try:
            if not await self._send_record(record):
                raise RecordRefusedError("another content was counted under its number")
        except RecordRefusedError as refusal:
            if key not in self._retry_at:
                log.error(
                    "plans: use record %s was refused; it is kept and sent again every %g s: %s",
                    record.idempotency_key, REFUSED_RETRY_SECONDS, refusal,
                )  # fmt: skip
            self._retry_at[key] = asyncio.get_running_loop().time() + REFUSED_RETRY_SECONDS
            return
        self._usage_recorder.acknowledge(*key)
        self._retry_at.pop(key, None)

    async def _send_record(self, record: UsageRecord) -> bool:
        body = json.dumps(
            {"wish": "use", "author": record.writer, "record": record.as_json()}, separators=(",", ":")
        ).encode()
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                self._address.host, self._address.port, limit=MAX_ANSWER_BYTES
            )
            try:
                writer.write(
                    b"POST /v1/plans HTTP/1.1\r\nHost: plans\r\nConnection: close\r\n"
                    + f"Authorization: Bearer {self._address.token}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await reader.read(MAX_ANSWER_BYTES)
                while len(answer) < MAX_ANSWER_BYTES and (more := await reader.read(MAX_ANSWER_BYTES)):
                    answer += more
            finally:
                writer.transport.abort()
        head, _, text = answer.partition(b"\r\n\r\n")
        status = head.split(b"\r\n", 1)[0].split(b" ")[1:2]
        if REFUSAL_STATUSES.intersection(status):
            raise RecordRefusedError(f"answered {head[:40]!r} {text[:200]!r}")
        if status != [b"200"]:
            raise ConnectionEndedError(f"{record.idempotency_key}: answered {head[:40]!r} {text[:200]!r}")
        return json.loads(text).get("acknowledged") is True
