"""The program with the counter on an engine: enabled by the operators' file, otherwise not even imported."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from cypresspulley.operators import OperatorsError, load_operators
from cypresspulley.rehearsal.standins.engine import EngineNode
from tests.loopback import Origin, ask, listening, read_message, run
from tests.test_program import WIRE_SETTINGS, config, started


def test_the_program_counts_on_the_engine(tmp_path: Path) -> None:
    async def main() -> None:
        node = EngineNode()
        operators = tmp_path / "operators.toml"
        operators.write_text(f'[keeper]\nurl = "redis://127.0.0.1:{await node.listen()}/?prefix=test:"\n')
        async with listening(Origin().talk) as dial:
            raw = config(dial)
            plans = [{"name": "basic", "quota_rate": 1.0, "store_size": 20.0}]
            raw["settings"] = WIRE_SETTINGS | {
                "tariffs": plans, "specifics": {"has_counter": True, "count_wait_s": 2.0}
            }  # fmt: skip
            async with started(raw, tmp_path, "--operators", str(operators)) as program:
                reader, writer = await program.connect()
                for _ in range(15):
                    writer.write(ask())
                    await read_message(reader)
                writer.close()
        assert node.calls > 0 and all(key.startswith("test:{") for key in node.values)
        node.stop()

    run(main())


def test_a_wrong_url_is_one_line_and_exit_code_2(tmp_path: Path) -> None:
    operators = tmp_path / "operators.toml"
    operators.write_text('[keeper]\nurl = "http://nowhere"\n')
    path = tmp_path / "config.json"
    raw = config("127.0.0.1:1")
    raw["settings"] = WIRE_SETTINGS | {"specifics": {"has_counter": True, "count_wait_s": 0.05}}
    path.write_text(json.dumps(raw))
    done = subprocess.run(
        [sys.executable, "-m", "cypresspulley", "--operators", str(operators)],
        env={"LB_CONFIG": str(path)}, capture_output=True, text=True, timeout=20,
    )  # fmt: skip
    assert done.returncode == 2 and "keeper.url: expected redis://" in done.stderr


def test_a_wrong_table_names_the_key(tmp_path: Path) -> None:
    path = tmp_path / "operators.toml"
    path.write_text("[keeper]\nhost = 1\n")
    with pytest.raises(OperatorsError, match=r"keeper\.url: expected a str"):
        load_operators(str(path))


def test_off_imports_nothing_of_it() -> None:
    code = (
        "import sys, cypresspulley.__main__; print([m for m in sys.modules if 'redis' in m or 'keeper' in m])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
