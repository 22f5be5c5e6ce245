"""Tests the readers with lines and files written by hand from the published formats, and with hostile input."""

from __future__ import annotations

import gzip
import json
from pathlib import Path

import pytest
import zstandard
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.capture.access import FORMATS, nginx_format
from cypresspulley.capture.load import load_captures, read_records
from cypresspulley.capture.mapping import Mapping, load_mapping
from cypresspulley.capture.model import CaptureError, RawRequest, UnreadableRecord, bare_path, printable
from cypresspulley.capture.times import parse_clf_time, parse_iso_time, parse_time

T = 1_791_628_536.0  # 2026-10-10 10:35:36 UTC
MAPPING = Mapping.model_validate({"plan": {"from": ["header:x-plan", "field:plan"], "default": "standard"}})

# One line for each format, as the documentation of its program gives it.
LINES = {
    "common": '10.0.0.1 - ann [10/Oct/2026:16:05:36 +0530] "GET /bag-lookup?account=00000000000000aa HTTP/1.0" 200 23',
    "combined": '10.0.0.1 - - [10/Oct/2026:10:35:36 +0000] "POST /handover-post?account=00000000000000aa '
    'HTTP/1.1" 429 0 "http://x.example/a b" "Mozilla/5.0 (X11; \\x22quoted\\x22)"',
    "envoy": '[2026-10-10T10:35:36.000Z] "GET /bag-lookup?account=00000000000000aa HTTP/2" 200 - 0 154 130 128 "-" '
    '"okhttp/4" "9b1f03aa5c7e2d41" "bags.example" "10.1.0.9:80"',
    "haproxy": "Oct 10 10:35:36 lb haproxy[14389]: 10.0.1.2:33317 [10/Oct/2026:10:35:36.000] http-in bags/b1 "
    '10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 {00aa|tab} {} "GET /bag-lookup?account=00000000000000aa HTTP/1.1"',
    "json": '{"time":"2026-10-10T10:35:36+00:00","method":"GET","path":"/bag-lookup","account":"00000000000000aa",'
    '"class":"bag-lookup","status":200,"latency":0.13,"nested":{"x":1}}',
}


def write_capture(folder: Path, data: bytes, name: str = "capture") -> str:
    path = folder / name
    path.write_bytes(data)
    return str(path)


def read_requests(name: str, kind: str = "auto", notation: str = "") -> list[RawRequest]:
    return [r for r in read_records(name, kind, notation) if isinstance(r, RawRequest)]


def read_unreadable(name: str) -> list[UnreadableRecord]:
    return [r for r in read_records(name) if isinstance(r, UnreadableRecord)]


@pytest.mark.parametrize("kind", LINES)
def test_each_dialect_is_detected_and_read(tmp_path: Path, kind: str) -> None:
    name = write_capture(tmp_path, LINES[kind].encode() + b"\n")
    for how in ("auto", kind):
        (raw,) = read_requests(name, how)
        assert raw.t == pytest.approx(T) and raw.status in (200, 429)
        assert raw.location == f"{name}:1"
    (entry,) = load_captures((name,), MAPPING).entries
    assert entry.account == "00000000000000aa" and entry.cls in ("bag-lookup", "handover-post")
    assert entry.path in ("/bag-lookup", "/handover-post")


def test_latencies_and_starts(tmp_path: Path) -> None:
    assert read_requests(write_capture(tmp_path, LINES["haproxy"].encode()))[0].latency == pytest.approx(
        0.109
    )
    assert read_requests(write_capture(tmp_path, LINES["envoy"].encode()))[0].latency == pytest.approx(0.130)
    notation = '$remote_addr [$time_local] "$request" $status $request_time "$http_x_request_id"'
    line = b'1.2.3.4 [10/Oct/2026:10:35:36 +0000] "GET /a HTTP/1.1" 200 0.250 "abc"\n'
    (raw,) = read_requests(write_capture(tmp_path, line), notation=notation)
    assert (
        raw.t == pytest.approx(T - 0.25) and raw.fields["x-request-id"] == "abc"
    )  # nginx logs the time of the end


@pytest.mark.parametrize(
    ("notation", "expected"),
    [("plain", "expected $variables"), ("$a$b", "side by side"), ("$status $x$status", "side by side")],
)
def test_a_log_format_that_cannot_be_taken_apart_is_an_error(notation: str, expected: str) -> None:
    with pytest.raises(CaptureError, match=expected.replace("$", r"\$")):
        nginx_format(notation)


def test_two_formats_and_anothers_lines_and_a_cut(tmp_path: Path) -> None:
    text = [
        LINES["common"], "kernel: eth0 link up", LINES["envoy"], LINES["json"], "", LINES["combined"][:60],
    ]  # fmt: skip
    name = write_capture(tmp_path, "\n".join(text).encode())
    assert len(read_requests(name)) == 3
    assert [b.location for b in read_unreadable(name)] == [f"{name}:2", f"{name}:6"]
    with pytest.raises(CaptureError, match=f"{name}:2: fits none"):
        load_captures((name,), MAPPING, strict=True)
    loaded = load_captures((name,), MAPPING)
    assert loaded.unreadable_counts[name] == 2 and loaded.unreadable[0].location == f"{name}:2"


@pytest.mark.parametrize(
    "pack", [gzip.compress, zstandard.ZstdCompressor().compress, lambda x: b"\xef\xbb\xbf" + x]
)
def test_packed_files_and_a_mark_at_the_start(tmp_path: Path, pack: object) -> None:
    assert callable(pack)
    assert len(read_requests(write_capture(tmp_path, pack(LINES["json"].encode() + b"\n")))) == 1


def har(*entries: dict[str, object], head: bytes = b"") -> bytes:
    text = json.dumps({"log": {"version": "1.2", "creator": {"name": "x"}, "pages": [], "entries": entries}})
    return head + text.encode()


def har_entry(started: str = "2026-10-10T16:05:36.000+05:30", **changes: object) -> dict[str, object]:
    headers = [{"name": ":path", "value": "/x"}, {"name": "X-Priority-Class", "value": "bag-lookup"},
               {"name": "x-request-id", "value": "ID1"}, {"name": "cookie", "value": "secret=1"}]  # fmt: skip
    request = {
        "method": "GET", "url": "https://bags.example/bag-lookup?account=00000000000000aa&token=hush",
        "headers": headers, "cookies": [{"name": "secret", "value": "1"}],
    }  # fmt: skip
    response = {
        "status": 200,
        "bodySize": 12,
        "content": {"size": 12, "text": "eHh4eA==", "encoding": "base64"},
    }
    return {"startedDateTime": started, "time": 130.5, "request": request, "response": response} | changes


def test_a_har_as_browsers_write_it(tmp_path: Path) -> None:
    """Entries out of order, a time of -1, status 0, header names in any case, a byte-order mark, indentation, gzip."""
    entries = [
        har_entry("2026-10-10T10:35:40.5Z"), har_entry(),
        har_entry("2026-10-10T10:35:37.1234567Z", time=-1, response={"status": 0, "_error": "net::ERR_ABORTED"}),
    ]  # fmt: skip
    for head in (b"", b"\xef\xbb\xbf", b"\n  "):
        loaded = load_captures((write_capture(tmp_path, har(*entries, head=head)),), MAPPING)
        assert [e.status for e in loaded.entries] == [200, 200, 0]
        assert loaded.entries[1].t == pytest.approx(T) and loaded.entries[1].latency == pytest.approx(0.1305)
        assert loaded.entries[2].latency == -1 and loaded.entries[2].id == "id1"
    packed = load_captures((write_capture(tmp_path, gzip.compress(har(*entries))),), MAPPING)
    assert len(packed.entries) == 3


@pytest.mark.parametrize(
    ("program", "statuses"),
    [("chrome", [0, 200]), ("firefox", [200, 0]), ("safari", [200]), ("proxy", [200])],
)
def test_files_as_each_program_writes_them(program: str, statuses: list[int]) -> None:
    """The samples are written by hand after the exports of these programs."""
    name = str(Path(__file__).parent / "samples" / f"{program}.har")
    loaded = load_captures((name,), Mapping(), strict=True)
    entries = sorted(loaded.entries, key=lambda e: e.t)
    assert [e.status for e in entries] == statuses and not loaded.unmapped
    (served,) = [e for e in entries if e.status == 200]
    assert served.t == pytest.approx(T) and served.latency == pytest.approx(0.1303, abs=0.001)
    assert (served.id, served.plan, served.cls) == ("9b1f03aa5c7e2d41", "chain", "bag-lookup")
    assert "hush" not in repr(entries) and "not-for-anyone" not in repr(entries)


def test_a_page_of_other_requests_is_told_and_not_guessed(tmp_path: Path) -> None:
    image = {"method": "GET", "url": "https://cdn.example/img/a.png?account=00000000000000aa", "headers": []}
    entries = [har_entry() for _ in range(12)] + [har_entry(request=image) for _ in range(400)]
    loaded = load_captures((write_capture(tmp_path, har(*entries)),), MAPPING)
    assert len(loaded.entries) == 12 and loaded.unmapped["no class: GET /img/a.png"] == 400


def test_broken_entries_are_counted_with_their_place(tmp_path: Path) -> None:
    entries: list[dict[str, object]] = [har_entry(), har_entry("yesterday"), {"time": 3}]
    entries.append(har_entry(response={"status": 12345}))
    name = write_capture(tmp_path, har(*entries))
    assert [b.location for b in read_unreadable(name)] == [f"{name}: entry {n}" for n in (2, 3, 4)]
    cut = write_capture(tmp_path, har(har_entry(), har_entry())[:-200])
    assert len(read_requests(cut)) == 1 and "not JSON from here on" in read_unreadable(cut)[0].reason


def test_hostile_files(tmp_path: Path) -> None:
    long = write_capture(tmp_path, b"x" * (10 << 20) + b"\n" + LINES["json"].encode() + b"\n")
    assert [b.reason for b in read_unreadable(long)] == ["a line of over 1 MB"] and len(
        read_requests(long)
    ) == 1
    deep = write_capture(tmp_path, b'{"log":{"entries":[{"a":' + b"[" * 10_000)
    with pytest.raises(CaptureError, match="nested over"):
        read_requests(deep)
    nested = write_capture(tmp_path, b'{"a":' + b"[" * 10_000 + b"]" * 10_000 + b"}\n")
    assert len(read_unreadable(nested)) == 1
    bomb = write_capture(tmp_path, gzip.compress(b"0" * (200 << 20)))
    with pytest.raises(CaptureError, match="refused"):
        read_requests(bomb)
    torn = write_capture(tmp_path, gzip.compress(LINES["json"].encode() * 100)[:-20])
    with pytest.raises(CaptureError, match="damaged"):
        read_requests(torn)
    huge = LINES["json"].replace("200", "1e400").replace("0.13", "1e999")
    assert len(read_unreadable(write_capture(tmp_path, huge.encode()))) == 1
    with pytest.raises(CaptureError, match="not readable"):
        read_requests(str(tmp_path / "nothing"))


def test_nothing_that_is_secret_or_a_control_character_comes_out(tmp_path: Path) -> None:
    assert bare_path("/a/b?token=hush#x") == "/a/b"
    assert bare_path("https://h.example/a/eyJhbGciOiJIUzI1NiJ9.abc_def?x") == "/a/{}"
    assert printable("\x1b[31mred\x07") == "\\x1b[31mred\\x07" and len(printable("x" * 500)) < 130
    line = LINES["json"].replace("/bag-lookup", "/bag-lookup\\u001b[2J")
    (entry,) = load_captures((write_capture(tmp_path, line.encode()),), MAPPING).entries
    assert entry.path == "/bag-lookup\\x1b[2J"


@given(st.binary(max_size=400))
@settings(max_examples=300, deadline=None)
def test_no_bytes_break_a_reader(data: bytes) -> None:
    for form in FORMATS.values():
        form.parse(data.decode("utf-8", "replace"))


@given(kind=st.sampled_from(sorted(LINES)), cut=st.integers(0, 300), junk=st.text(max_size=20))
@settings(max_examples=300, deadline=None)
def test_bent_lines_are_read_or_told(kind: str, cut: int, junk: str) -> None:
    line = LINES[kind][:cut] + junk + LINES[kind][cut + len(junk) :]
    for form in FORMATS.values():
        fields = form.parse(line)
        assert fields is None or isinstance(fields, dict)


@given(data=st.binary(max_size=200), at=st.integers(0, 900))
@settings(max_examples=150, deadline=None)
def test_bent_hars_are_read_or_told(tmp_path_factory: pytest.TempPathFactory, data: bytes, at: int) -> None:
    text = har(har_entry(), har_entry())
    name = write_capture(
        tmp_path_factory.getbasetemp(), text[:at] + data + text[at + len(data) :], "bent.har"
    )
    try:
        for record in read_records(name, "har"):
            assert isinstance(record, RawRequest | UnreadableRecord)
    except CaptureError:
        pass


@pytest.mark.parametrize(
    "text", ["", "-", "10/Foo/2026:10:35:36 +0000", "1", "2026-13-01T00:00:00Z", "9" * 40, "NaN"]
)
def test_what_is_no_time_is_an_error(text: str) -> None:
    with pytest.raises(ValueError):
        parse_time(text)


def test_times_with_zones_and_digits() -> None:
    assert parse_clf_time("10/Oct/2026:16:05:36 +0530") == parse_clf_time("10/Oct/2026:10:35:36") == T
    assert parse_iso_time("2026-10-10T10:35:36.25") == parse_time(str(T + 0.25)) == T + 0.25
    assert parse_iso_time("2026-10-10T06:35:36-04:00") == parse_time(T * 1000) == T


def test_a_mapping_file_is_checked(tmp_path: Path) -> None:
    good = write_capture(
        tmp_path, b'[plan]\nfrom = ["header:x-tier"]\ndefault = "standard"\nnames = {gold = "chain"}\n', "m"
    )
    assert load_mapping(good).plan.default == "standard"
    for text, expected in (
        (b'[plan]\nfrom = ["cookie:x"]\n', "plan.from: 'cookie:x': expected query:NAME"),
        (b'[plan]\npattern = "("\n', "plan.pattern: no regular expression"),
        (b'[plans]\nfrom = ["header:x"]\n', "plans: Extra inputs"),
        (b"[", "not readable as TOML"),
    ):
        bad = write_capture(tmp_path, text, "bad.toml")
        with pytest.raises(CaptureError) as error:
            load_mapping(bad)
        assert str(error.value).startswith(f"{bad}: ") and expected in str(error.value)
