"""The reader accepts what a SIGKILL leaves behind and reports anything else with file, line and expectation."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any, get_type_hints

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.histories import read, writer
from cypresspulley.histories.events import BOUNDS, FACTS, Kind
from cypresspulley.histories.forms import EVENT_TYPES, Event
from cypresspulley.histories.read import HistoryError, read_files, read_folder, read_lines
from tests.histories.plays import BOUNDS as PLAY_BOUNDS
from tests.histories.plays import PLAYS, lists

START: dict[str, Any] = {
    "seq": 0, "wall": 5.0, "mono": 7, "kind": "start", "name": "a", "life": 3, "zone": "", "period": 0.5, "bounds": {},
}  # fmt: skip
END = {"seq": 1, "wall": 6.0, "mono": 8.0, "kind": "end", "reason": "asked to"}


def encoded(*events: dict[str, Any]) -> list[bytes]:
    return [json.dumps(event).encode() + b"\n" for event in events]


def test_forms_have_the_facts_of_each_kind() -> None:
    head = set(get_type_hints(Event))
    assert set(EVENT_TYPES) == set(FACTS) == set(Kind)
    for kind, event_type in EVENT_TYPES.items():
        assert [name for name in event_type.__struct_fields__ if name not in head] == list(FACTS[kind]), kind
    assert set(PLAY_BOUNDS) == set(BOUNDS)


def test_a_last_line_without_its_end_is_dropped_and_no_other() -> None:
    lines = encoded(START, END)
    assert len(read_lines(lines, "x").events) == 2
    for length in range(len(lines[1])):
        history = read_lines([lines[0], *([lines[1][:length]] if length else [])], "x")
        assert (len(history.events), history.truncated) == (1, length > 0)
    with pytest.raises(HistoryError, match="x: line 1: expected an end of line"):
        read_lines([lines[0][:-1], lines[1]], "x")


@pytest.mark.parametrize(
    ("lines", "says"),
    [
        (encoded(END), "x: line 1: seq 1: expected 0"),
        (encoded({**END, "seq": 0}), "x: line 1: expected start as the first event"),
        (encoded(START, {**END, "seq": 2}), "x: line 2: seq 2: expected 1, without a gap"),
        (encoded(START, {**START, "seq": 1}), "x: line 2: expected no second start"),
        (encoded(START, {**END, "mono": 6.5}), r"x: line 2: mono 6.5: expected at least 7"),
        (encoded({**START, "life": "3"}), r"x: line 1: Expected `int`, got `str` - at `\$.life`"),
        (
            encoded({key: START[key] for key in START if key != "zone"}),
            "x: line 1: .*missing required field `zone`",
        ),
        (encoded(START, {**END, "kind": "fleet.none"}), "x: line 2: Invalid value 'fleet.none'"),
        ([*encoded(START), b"\n", *encoded(END)], "x: line 2: "),
        ([*encoded(START), b"[" * 50_000 + b"\n"], "x: line 2: "),
    ],
)
def test_what_is_wrong_is_named_with_its_line(lines: list[bytes], says: str) -> None:
    with pytest.raises(HistoryError, match=says):
        read_lines(lines, "x")


def test_files_are_bounded_and_named(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with pytest.raises(HistoryError, match="at least one history"):
        read_folder(tmp_path)
    for name, events in {"a": [START, END], "b": [{**START, "name": "b"}], "c": []}.items():
        (tmp_path / f"{name}.jsonl").write_bytes(b"".join(encoded(*events)))
    assert [history.name for history in read_folder(tmp_path).lives] == ["a", "b"]
    assert repr(read_folder(tmp_path).lives[0]) == "<History of a life 3, 2 events>"
    (tmp_path / "twice.jsonl").write_bytes(b"".join(encoded(START)))
    with pytest.raises(HistoryError, match=r"twice.jsonl: a in life 3: expected one .*a.jsonl"):
        read_folder(tmp_path)
    for name, limit in (
        ("MAX_TOTAL_EVENTS", 1),
        ("MAX_LINE_BYTES", 99),
        ("MAX_FILE_BYTES", 120),
        ("MAX_FILES", 0),
    ):
        with (
            monkeypatch.context() as patched,
            pytest.raises(HistoryError, match=f"at most .*{limit}|at most that many"),
        ):
            patched.setattr(read, name, limit)
            read_files([tmp_path / "a.jsonl"])


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_whatever_a_file_holds_ends_in_a_history_or_an_error_that_names_it(data: st.DataObject) -> None:
    lines = encoded(START, END, *lists(PLAYS["closing"]())[1][1:4])
    text = bytearray(b"".join(lines))
    for _ in range(data.draw(st.integers(0, 4))):
        at = data.draw(st.integers(0, len(text) - 1))
        text[at : at + data.draw(st.integers(0, 9))] = data.draw(st.binary(max_size=9))
    try:
        history = read_lines(bytes(text).splitlines(keepends=True), "x")
    except HistoryError as error:
        assert str(error).startswith("x: line ")
    else:
        assert [event.seq for event in history.events] == list(range(len(history.events)))


WRITER_PROGRAM = """
import sys, time
from cypresspulley.histories.events import Kind
from cypresspulley.histories.writer import History
history = History(sys.argv[1], time.monotonic, time.time)
history.open_life(4)
history.put(Kind.START, name="a", life=4, zone="", period=0.5, bounds={})
number = 0
while True:
    history.put(Kind.END, reason=str(number) * 40)
    number += 1
    if number % 100 == 0:
        print(number, flush=True)
"""


def test_a_sigkill_loses_at_most_the_last_line(tmp_path: Path) -> None:
    path = str(tmp_path / "a-{life}.jsonl")
    process = subprocess.Popen(
        [sys.executable, "-c", WRITER_PROGRAM, path], stdout=subprocess.PIPE, env={**os.environ}
    )
    assert process.stdout is not None
    with process.stdout:
        reported = int([process.stdout.readline() for _ in range(20)][-1])
        process.send_signal(signal.SIGKILL)
        reported = max(
            [
                reported,
                *(
                    int(line)
                    for line in process.stdout.read().splitlines(keepends=True)
                    if line.endswith(b"\n")
                ),
            ]
        )
    process.wait()
    (history,) = read_folder(tmp_path).lives
    assert history.source.endswith("a-4.jsonl")
    # The start event, and every event that the process had reported as written.
    assert len(history.events) > reported


def test_a_line_written_in_part_ends_the_history(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    history = writer.History(str(tmp_path / "a.jsonl"), lambda: 1.0, lambda: 1.0)
    history.put(Kind.END, reason="before it is opened nothing is written")
    history.open_life(3)
    history.put(Kind.START, name="a", life=3, zone="", period=0.5, bounds={})
    original_write = os.write
    with monkeypatch.context() as patched:
        patched.setattr(os, "write", lambda file, line: original_write(file, line[:-5]))
        history.put(Kind.END, reason="the disk is full")
    history.put(Kind.END, reason="and has room again")
    (read_back,) = read_folder(tmp_path).lives
    assert len(read_back.events) == 1 and read_back.truncated


def test_memory_keeps_the_same_as_a_file(tmp_path: Path) -> None:
    moments = iter(range(100))
    memory = writer.MemoryHistory(lambda: 7.0, lambda: float(next(moments)))
    moments_of_file = iter(range(100))
    file = writer.History(str(tmp_path / "{life}.jsonl"), lambda: 7.0, lambda: float(next(moments_of_file)))
    passed = {"gold": 1.5}
    for history in (memory, file):
        history.put(Kind.END, reason="unopened")
        for life in (3, 4):
            history.open_life(life)
            history.put(Kind.START, name="a", life=life, zone="", period=0.5, bounds=passed)
            history.put(Kind.PURGE, account="x", issuer="a", life=3, number=1, what="no", missing=("b", "c"))
        history.close()
        history.put(Kind.END, reason="shut")
    passed["gold"] = 9.0  # must not affect the events already recorded
    held, written = read.from_memory(memory.lives), read_folder(tmp_path)
    assert [history.events for history in held.lives] == [history.events for history in written.lives]
    assert repr(memory) == "<MemoryHistory of 2 lives, 2 events, shut>"
