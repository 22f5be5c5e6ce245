"""Tells since when the client of an upload may have been waiting for its answer. No I/O.

A client's time runs from when it has sent the last byte. While this process does not read, because a server takes
nothing, the rest of the body may lie in the kernels of both machines: the client may have sent all of it. It has not if
more is missing than kernels hold, or if this process was reading and found nothing to read for a moment.
"""

from __future__ import annotations

from cypresspulley.net.relay import Upload

# Seconds without anything to read after which a client had not sent yet what comes next.
CATCH_UP_SECONDS = 0.05


class UploadClock:
    """Follows one upload; all times are in seconds of the caller's clock."""

    def __init__(self, now: float) -> None:
        self._may_wait_since: float | None = None  # None if the client has not sent all
        self._last_read_at = now  # or when reading began or was resumed

    def __repr__(self) -> str:
        return f"<UploadClock, the client may wait since {self._may_wait_since}>"

    def hold(self, now: float, upload: Upload) -> None:
        """Note that reading is paused at ``now``."""
        if not upload.may_be_sent_whole:
            self._may_wait_since = None
        elif self._may_wait_since is None:
            self._may_wait_since = now

    def resume(self, now: float) -> None:
        """Note that reading is resumed."""
        self._last_read_at = now

    def record_read(self, now: float) -> None:
        """Note that there was something to read."""
        self.record_silence(now)
        self._last_read_at = now

    def record_silence(self, now: float) -> None:
        """Note that nothing was to be read until ``now``, since reading was last possible."""
        if now - self._last_read_at > CATCH_UP_SECONDS:
            self._may_wait_since = None

    def seconds_waited(self, now: float) -> float:
        """Return for how long the client may have been waiting since it sent the last byte."""
        return 0.0 if self._may_wait_since is None else now - self._may_wait_since
