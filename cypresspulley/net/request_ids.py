"""Which request ids may not come again: those of open requests, and of requests that may have run.

A request that may not be repeated runs twice if its id comes again after its client has left, or at the other process
of an upgrade. Such an id is remembered after its request has ended, and told to the other process before its first
attempt. Repeats are rejected with 409.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

REMEMBERED_SECONDS = 60.0  # the longest timeout of a request (``requests.MAX_TIMEOUT_MS``)
MAX_REMEMBERED_IDS = 16_384  # beyond, the oldest is forgotten


class RequestIds:
    """The ids in use at one limiter."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """``clock`` is in seconds."""
        self._clock = clock
        self.open = set[bytes]()
        self._remembered = dict[bytes, float]()  # when each is forgotten, in order of that time
        self._announced = set[bytes]()  # open ids of which an attempt may be under way
        self.on_announced: Callable[[bytes], None] | None = None  # tells the other process of an upgrade

    def __repr__(self) -> str:
        return f"<RequestIds {len(self.open)} open, {len(self._remembered)} remembered>"

    def is_taken(self, id: bytes) -> bool:
        """Whether a request with this id is open, or may have run a short time ago."""
        if id in self.open:
            return True
        forget_at = self._remembered.get(id)
        return forget_at is not None and self._clock() < forget_at

    def claim(self, id: bytes) -> None:
        """Reserve the id of a new request, for which ``is_taken`` must not hold."""
        self.open.add(id)

    def announce(self, id: bytes) -> None:
        """Note that an attempt of a request that may not be repeated is about to begin."""
        if id in self.open and id not in self._announced:
            self._announced.add(id)
            if self.on_announced is not None:
                self.on_announced(id)

    def release(self, id: bytes, may_have_run: bool) -> None:
        """End the reservation; an id whose request may have run is remembered."""
        self.open.discard(id)
        self._announced.discard(id)
        if may_have_run:
            self.remember((id,))

    def remember(self, ids: Iterable[bytes]) -> None:
        """Remember ids whose requests may have run, here or at the other process of an upgrade."""
        now = self._clock()
        for id in ids:
            self._remembered.pop(id, None)
            self._remembered[id] = now + REMEMBERED_SECONDS
        while self._remembered:
            oldest = next(iter(self._remembered))
            if len(self._remembered) <= MAX_REMEMBERED_IDS and self._remembered[oldest] > now:
                return
            del self._remembered[oldest]

    def known(self) -> list[bytes]:
        """Return the ids that another process must not let run: announced and remembered ones."""
        return [*self._announced, *self._remembered]
