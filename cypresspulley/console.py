"""Error output that all subcommands share."""

from __future__ import annotations

import sys
from pathlib import Path


class OutputError(ValueError):
    """A file could not be written; the text names it and what was expected."""


def fail(error: object, code: int) -> int:
    """Print an error to standard error and return the exit code."""
    print(f"fawnseam: {error}", file=sys.stderr)
    return code


def check_folders(*paths: Path | None) -> None:
    """Raise ``OutputError`` if the folder of an output file does not exist.

    Commands call this before their work, so that they don't fail only after it.
    """
    for path in paths:
        if path is not None and not path.parent.is_dir():
            raise OutputError(f"{path}: its folder does not exist; expected a file in an existing folder")
