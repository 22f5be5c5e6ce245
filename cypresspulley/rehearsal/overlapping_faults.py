"""Tracks lasting faults that may overlap, and which value applies to each target. No I/O and no clock."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable

Value = bool | float
Apply = Callable[[Value], None]


class OverlappingFaults:
    """The values of the active faults by kind and target. Of several, the one that began last applies.

    ``apply`` is called with the new value whenever it changes, and with ``False`` or 0 when the last fault has ended.
    """

    def __init__(self) -> None:
        self._values = defaultdict[tuple[str, str], list[Value]](list)

    def __repr__(self) -> str:
        return f"<OverlappingFaults {dict(self._values)}>"

    def begin(self, kind: str, target: str, value: Value, apply: Apply) -> None:
        values = self._values[kind, target]
        if not values or values[-1] != value:
            apply(value)
        values.append(value)

    def end(self, kind: str, target: str, value: Value, apply: Apply) -> None:
        """End a fault with this value. Raise ``ValueError`` if none has begun."""
        values = self._values[kind, target]
        before = values[-1] if values else None
        values.remove(value)
        after = values[-1] if values else type(value)(0)
        if after != before:
            apply(after)
