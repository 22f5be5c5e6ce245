"""The README's example runs as printed and sends its request on."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from cypresspulley import interface as api


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    found = re.search(r"```python\n(.*?)```", text, re.S)
    assert found
    names: dict[str, Any] = {}
    exec(found.group(1), names)
    assert any(isinstance(action, api.Send) for action in names["actions"])
