"""Tests of the access log: contents, rotation, that it never blocks the event loop, and that it is off by default."""

from __future__ import annotations

import errno
import io
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cypresspulley.accesslog import LogFile
from cypresspulley.capture.load import load_captures
from cypresspulley.capture.mapping import Mapping
from cypresspulley.operators import OperatorsError, load_operators
from cypresspulley.rehearsal.standins.counter_server import CounterServer
from cypresspulley.rehearsal.standins.network import Link
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import WIRE_SETTINGS, config, stand_in_stage, started


def rows(path: Path) -> list[dict[str, Any]]:
    return [json.loads(line) for line in path.read_text().splitlines()]


def wait_for(condition: Callable[[], object]) -> None:
    limit = time.monotonic() + 10
    while not condition():
        assert time.monotonic() < limit
        time.sleep(0.005)


def operators(folder: Path) -> list[str]:
    path = folder / "operators.toml"
    path.write_text(f'[access_log]\npath = "{folder / "access.jsonl"}"\n')
    return ["--operators", str(path)]


def test_each_request_is_a_line_that_the_readers_take(tmp_path: Path) -> None:
    async def main() -> None:
        origin, link = Origin(), Link("n0")
        keeper = CounterServer(stand_in_stage(), 1, 1000.0, 0.1, 0.0)
        keeper.is_serving = True
        async with listening(origin.talk) as dial:
            raw = config(dial) | {"counter": keeper.listen(link, "127.0.0.1").address}
            tight = [{"name": "basic", "quota_rate": 0.1, "store_size": 2.0}]
            raw["settings"] = WIRE_SETTINGS | {
                "specifics": {"has_counter": True, "count_wait_s": 0.5}, "tariffs": tight,
            }  # fmt: skip
            async with started(raw, tmp_path, *operators(tmp_path)) as program:
                statuses = list[str]()
                for _ in range(6):
                    reader, writer = await program.connect()
                    writer.write(ask(X_Retried="1"))
                    statuses.append((await read_message(reader))[0].split()[1])
                program.process.send_signal(signal.SIGTERM)
                assert await program.process.wait() == 0
        keeper.close()
        told = [row for row in rows(tmp_path / "access.jsonl") if "kind" not in row]
        assert [str(row["status"]) for row in told] == statuses and {"200", "429"} <= set(statuses)
        served = told[statuses.index("200")]
        assert served["outcome"] == "served" and served["attempts"] == 1 and served["why"] == ""
        assert served["first_byte"] <= served["time"] <= served["last_byte"] and served["sent"] == 2
        assert abs(served["time"] - time.time()) < 60
        refused = told[statuses.index("429")]
        assert refused["outcome"] == "refused" and refused["why"] == "quota" and refused["attempts"] == 0
        lookups = Mapping.model_validate({"class": {"from": ["field:class"]}})
        loaded = load_captures((str(tmp_path / "access.jsonl"),), lookups, strict=True)
        assert [str(e.status) for e in loaded.entries] == statuses
        assert all(e.marked and e.account == "00000000b4d65521" and e.plan == "basic" for e in loaded.entries)
        assert any(count.total > 0 for count in loaded.sources[0].counts)

    run(main())


def test_sigusr1_opens_the_file_anew(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            listening(Origin().talk) as dial,
            started(config(dial), tmp_path, *operators(tmp_path)) as program,
        ):
            path, moved = tmp_path / "access.jsonl", tmp_path / "moved.jsonl"
            path.rename(moved)
            program.process.send_signal(signal.SIGUSR1)
            assert " 200 " in await program.health()  # the signal has been handled by now
            reader, writer = await program.connect()
            writer.write(ask())
            await read_message(reader)
            program.process.send_signal(signal.SIGTERM)
            await program.process.wait()
            assert len(rows(path)) == 1 and moved.read_text() == ""

    run(main())


def test_a_slow_disk_drops_lines_and_holds_nobody(tmp_path: Path) -> None:
    """A pipe without a reader accepts 64 KiB and then blocks its writer, like a failing disk."""
    pipe = tmp_path / "pipe"
    os.mkfifo(pipe)
    reader = os.open(pipe, os.O_RDONLY | os.O_NONBLOCK)
    file = LogFile(str(pipe), max_waiting_bytes=100_000)
    began, number = time.monotonic(), 0
    while not file.dropped and time.monotonic() - began < 5:
        # The pipe, the batch that the writer holds and `max_waiting_bytes` together hold less than 1 MB.
        assert number < 100_000
        file.put(b'{"n":%d}' % number)
        number += 1
    assert file.dropped > 0
    os.set_blocking(reader, True)
    got = list[bytes]()
    drain = threading.Thread(target=lambda: got.extend(iter(lambda: os.read(reader, 1 << 16), b"")))
    drain.start()
    file.flush()
    wait_for(lambda: file._waiting_bytes == 0)
    dropped = file.dropped
    file.put(b'{"n":"last"}')
    file.close()
    drain.join(10)
    os.close(reader)
    lines = [json.loads(line) for line in b"".join(got).splitlines()]
    assert lines[-2:] == [{"kind": "dropped", "lines": dropped}, {"n": "last"}]
    written = sum("n" in line for line in lines) - 1
    assert written + sum(line["lines"] for line in lines if "kind" in line) == number


class FillingDisk(io.RawIOBase):
    """Accepts ``room`` bytes, the last write in part, then raises ENOSPC until there is room again."""

    def __init__(self, room: int) -> None:
        self.room, self.taken = room, bytearray()

    def write(self, data: object) -> int:
        if self.room == 0:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        part = bytes(memoryview(data))[: self.room]  # type: ignore[arg-type]
        self.taken += part
        self.room -= len(part)
        return len(part)


@pytest.mark.parametrize("room", [0, 1, 8, 9, 10, 20])
def test_a_line_that_a_full_disk_took_in_part_spoils_none_behind_it(tmp_path: Path, room: int) -> None:
    """A reader finds every line complete except the one that broke off, and how many lines are missing."""
    file, disk = LogFile(str(tmp_path / "log")), FillingDisk(room)
    file._file = disk  # type: ignore[assignment]
    for number in range(3):
        file.put(b'{"n":%d}' % number)
    file.flush()
    wait_for(lambda: file.dropped)
    disk.room = 1000
    file.put(b'{"n":"last"}')
    file.close()
    lines = bytes(disk.taken).splitlines()
    complete = [json.loads(line) for line in lines if line.endswith(b"}")]
    assert complete[-2:] == [{"kind": "dropped", "lines": 3 - room // 8}, {"n": "last"}]
    assert complete[:-2] == [{"n": number} for number in range(room // 8)]
    assert len(lines) == len(complete) + (room % 8 > 0)


def test_a_disk_that_takes_nothing_is_counted() -> None:
    file = LogFile("/dev/full")
    file.put(b"1")
    file.flush()
    wait_for(lambda: file.dropped)
    file.close()
    assert file.dropped == 1


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[", "not readable as TOML"),
        ("[acess_log]\n", "acess_log: expected a table, one of access_log"),
        ("access_log = 3\n", "access_log: expected a table"),
        ("[access_log]\n", "access_log.path: expected a str, got None"),
        ('[access_log]\npath = "x"\nsize = 3\n', "access_log.size: unknown; expected path"),
    ],
)
def test_a_wrong_file_is_named(tmp_path: Path, text: str, expected: str) -> None:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    with pytest.raises(OperatorsError) as error:
        load_operators(str(path))
    assert str(error.value).startswith(f"{path}: ") and expected in str(error.value)


def test_off_it_is_not_even_imported() -> None:
    text = "import cypresspulley.__main__, sys; print([m for m in sys.modules if 'accesslog' in m or 'capture' in m])"
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"


def test_wrong_arguments_are_one_plain_line() -> None:
    for arguments in (["--operators"], ["x"], ["--operators", "/nowhere"]):
        done = subprocess.run(
            [sys.executable, "-m", "cypresspulley", *arguments], capture_output=True, text=True
        )
        assert done.returncode == 2 and len(done.stderr.splitlines()) == 1
