"""The [plans] table of the operators' file: parsed, rejected with the key named, and applied by a limiter process."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from cypresspulley.__main__ import _connect_plan_book
from cypresspulley.config import ConfigError, parse_config
from cypresspulley.operators import Operators, OperatorsError, load_operators
from cypresspulley.plans.book import Stamp, Terms
from cypresspulley.plans.limiter import PlanBookDecisions
from cypresspulley.plans.plan_writer import PlanWriter
from cypresspulley.plans.reservations import MICRO_PER_UNIT
from cypresspulley.plans.serve import Publisher, unix_ms
from cypresspulley.plans.store import Store
from cypresspulley.policy.gateway import Gateway
from cypresspulley.rehearsal.limiters import wire_settings
from cypresspulley.rehearsal.scenario import parse_scenario
from tests.loopback import Origin, ask, listening, read_message, run
from tests.plans.disk import Disk
from tests.test_program import config, started

RAW_CONFIG = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1",
    "settings": wire_settings(
        parse_scenario({"name": "plans", "about": "x", "seconds": 2}, "x"), 0, "east-hall"
    ),
}


def load_table(tmp_path: Path, text: str) -> Operators:
    path = tmp_path / "operators.toml"
    path.write_text(text)
    return load_operators(str(path))


def test_the_example_is_read() -> None:
    example = Path(__file__).resolve().parents[2] / "deploy" / "plans.toml"
    assert load_operators(str(example)).plans == ("127.0.0.1:8600", "vadodara")


@pytest.mark.parametrize("text", ['[plans]\nwriter = "a:1"\n', '[plans]\nwriter = 3\ninstallation = "x"\n'])
def test_a_table_that_is_short_is_named(tmp_path: Path, text: str) -> None:
    with pytest.raises(OperatorsError, match=r"plans\.(installation|writer): expected a str"):
        load_table(tmp_path, text)


def test_what_cannot_be_followed_is_no_start(monkeypatch: pytest.MonkeyPatch) -> None:
    config = parse_config(RAW_CONFIG)
    gateway = Gateway(config.settings, 1, 0.0)
    monkeypatch.delenv("FAWNSEAM_PLANS_TOKEN", raising=False)
    with pytest.raises(ConfigError, match="plans: FAWNSEAM_PLANS_TOKEN"):
        _connect_plan_book(config, ("127.0.0.1:1", "x"), gateway, gateway, lambda: 0.0)
    monkeypatch.setenv("FAWNSEAM_PLANS_TOKEN", "t")
    with pytest.raises(ConfigError, match="plans"):
        _connect_plan_book(config, ("nowhere", "x"), gateway, gateway, lambda: 0.0)
    decisions, _ = _connect_plan_book(config, ("127.0.0.1:1", "x"), gateway, gateway, lambda: 0.0)
    assert isinstance(decisions, PlanBookDecisions)


def test_a_real_limiter_goes_by_the_book_and_tells_its_use(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A limiter process follows a writer and reports its usage by the book's plan and version until it stops."""
    monkeypatch.setenv("FAWNSEAM_PLANS_TOKEN", "t")

    async def main() -> None:
        plan_writer = PlanWriter(Store(Disk()), "vadodara")
        publisher = Publisher(plan_writer, "t", heartbeat_s=0.05)
        host, port = await publisher.listen("127.0.0.1", 0)
        now = unix_ms()
        plan_writer.set_terms("season", Terms(100.0, 100.0), now, now, "m")
        plan_writer.assign_plan("00000000b4d65521", "season", now, now, "m")
        operators = tmp_path / "operators.toml"
        operators.write_text(f'[plans]\nwriter = "{host}:{port}"\ninstallation = "vadodara"\n')
        async with (
            listening(Origin().talk) as dial,
            started(config(dial), tmp_path, "--operators", str(operators)) as program,
        ):
            async with asyncio.timeout(20):
                while not publisher.follower_count:
                    await asyncio.sleep(0.01)
            reader, writer = await program.connect()
            served = 0
            async with asyncio.timeout(20):
                while not any(key.plan == "season" for key in plan_writer.usage_ledger.totals):
                    writer.write(ask())
                    first, _, _ = await read_message(reader)
                    served += " 200 " in first
                    await asyncio.sleep(0.01)
            writer.close()
            program.process.terminate()
            assert await asyncio.wait_for(program.process.wait(), 20) == 0
        totals = plan_writer.usage_ledger.totals
        assert sum(totals.values()) == served * MICRO_PER_UNIT
        assert {key.version for key in totals if key.plan == "season"} == {Stamp(1, 1)}
        await publisher.close()

    run(main())
