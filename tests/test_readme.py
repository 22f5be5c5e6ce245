"""The README's example runs as printed, and its request is sent to a server."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

from cypresspulley import interface as api


def test_the_example_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    example = re.search(r"```python\n(.*?)```", text, re.S)
    assert example
    namespace: dict[str, Any] = {}
    exec(example.group(1), namespace)
    assert any(isinstance(action, api.Send) for action in namespace["actions"])
