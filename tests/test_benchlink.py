"""Benchmark adapter: translation of messages, unusual batches and malformed input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from cypresspulley.benchlink import BenchAdapter, WireError

SETTINGS = {
    "classes": [{"name": "read", "aim_s": 1.0, "effect": "idempotent", "worth": 1.0, "group": "all"}],
    "tariffs": [{"name": "basic", "quota_rate": 2.0, "store_size": 8.0, "price": None}],
    "n_instances": 2, "me": 0, "my_zone": "a", "unheard_of": {"x": 1},
    "limits": {"max_attempts": 2, "retry_after": True, "max_retry_after_s": 1.0},
    "contract": {"cold_from": 0.2, "warm_after_s": 5.0, "fall_multiple": 2.0, "fall_s": 2.0},
}  # fmt: skip
REGISTER = ["register", 0, [[None, 1, 0, "k", "s1", "healthy", "a"]]]
BEGIN = [["begin", 7, SETTINGS], REGISTER, ["membership", "SAVED", 0, 1]]
INCOMING = ["incoming", 11, "read", "basic", 2.0, 0, 2, 0, "00ff", 1]


def handle(adapter: BenchAdapter, now: float, *news: list[Any]) -> list[Any]:
    """Send one batch of messages to limiter 0 and return its commands."""
    reply = json.loads(
        adapter.handle_batch(
            json.dumps({"moment_s": now, "n": 3, "parts": [{"limiter_id": "limiter_0", "news": news}]})
        )
    )
    assert reply["n"] == 3
    return [command for part in reply["parts"] for command in part["cmds"]]


def test_a_request_is_passed_on_and_its_outcome_taken() -> None:
    adapter = BenchAdapter()
    commands = handle(adapter, 1.0, *BEGIN, INCOMING)
    assert ["pass_on", 11, 0.7, "s1"] in commands
    assert handle(adapter, 1.1, ["resolved", 11, 0, "s1", "OK", 0.1, True, None, None, {"qps": 3}]) == []


def test_empty_batch_and_stop_and_begin_in_one() -> None:
    adapter = BenchAdapter()
    assert json.loads(adapter.handle_batch('{"moment_s":1.5,"n":9,"parts":[]}')) == {"n": 9, "parts": []}
    handle(adapter, 2.0, *BEGIN, INCOMING)
    commands = handle(adapter, 3.0, ["shutdown"], *BEGIN)
    assert [command[0] for command in commands] == ["sleep"]


def test_a_list_number_reused_in_one_batch_resolves_in_order() -> None:
    adapter = BenchAdapter()
    other_list = ["register", 0, [[None, 1, 0, "k", "s2", "healthy", "a"]]]
    commands = handle(adapter, 1.0, *BEGIN, other_list, ["membership", "FULL", 0, 2], INCOMING)
    assert [command[3] for command in commands if command[0] == "pass_on"] == ["s2"]


@pytest.mark.parametrize(
    ("news", "names"),
    [
        (["incoming", "x"], "id"),
        (["resolved", 1, 0, "s1", "FINE", 0.1, True], "FINE"),
        (["nonsense"], "nonsense"),
        (["membership", "FULL", 9, 1], "list 9"),
        (["timeout_fired"], "mark"),
        (["left", 1, 2, 3], "left"),
        (["begin", 1, {"limits": 3}], "limits"),
    ],
)
def test_malformed_messages_are_named(news: list[Any], names: str) -> None:
    adapter = BenchAdapter()
    handle(adapter, 1.0, *BEGIN)
    with pytest.raises(WireError, match=names):
        handle(adapter, 2.0, news)


@pytest.mark.parametrize("line", ["not json", "[]", '{"n":1}', '{"moment_s":1,"parts":[{"news":[]}]}'])
def test_a_bad_line_gives_one_plain_line_and_a_bad_exit(line: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "cypresspulley.benchlink"], input=line + "\n", capture_output=True, text=True
    )
    assert process.returncode != 0
    assert process.stdout == ""
    assert len(process.stderr.strip().splitlines()) == 1 and process.stderr.startswith("benchlink: ")


def test_impossible_settings_stop_the_adapter_with_the_key() -> None:
    invalid = dict(SETTINGS, n_instances=0)
    with pytest.raises(ValueError, match="gateways"):
        handle(BenchAdapter(), 1.0, ["begin", 1, invalid])
