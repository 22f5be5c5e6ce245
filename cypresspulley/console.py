"""What all subcommands say alike when something is wrong."""

from __future__ import annotations

import sys
from pathlib import Path


class OutputError(ValueError):
    """A file that could not be written in the end; the text names it and what was expected."""


def fail(error: object, code: int) -> int:
    """Print an error for people; gives back the exit code."""
    print(f"fawnseam: {error}", file=sys.stderr)
    return code


def check_folders(*paths: Path | None) -> None:
    """Fail before the work is done, not after it: ``OutputError`` where a file's folder is not there."""
    for path in paths:
        if path is not None and not path.parent.is_dir():
            raise OutputError(f"{path}: its folder does not exist; expected a file in an existing folder")
