"""A node that serves kept answers: such a request causes no event, so no lane, quota or server is asked for it.

Its class is made over another kind of node (a plain one, one with an access log), whose methods it passes everything to
that it does not answer itself.
"""

from __future__ import annotations

import re
from typing import Any, Protocol, TypeVar

from cypresspulley import interface as api
from cypresspulley.closing.cache import CachedAnswer, CacheKey, SendStamp
from cypresspulley.net.frontend import ClientRequest
from cypresspulley.net.node import Node
from cypresspulley.net.upstream import Exchange

# Of requests that ask for more than what class, target and plan say, and of answers that are not for whoever asks the
# same: RFC 9111, 3 and 4.1. ``Age`` stands on what somebody else has kept already.
PRIVATE_REQUEST = re.compile(rb"(?im)^(?:range|if-[a-z-]+|cache-control|pragma|authorization|cookie):")
PRIVATE_ANSWER = re.compile(
    rb"(?im)^(?:set-cookie|vary|age|content-range|content-encoding|cache-control:.*\b(?:no-store|no-cache|private)\b)"
)

N = TypeVar("N", bound=Node)


class Keeping(Protocol):
    """What a node asks and tells: ``closing.limiter.Closing``."""

    def asks(self, account: str) -> bool: ...

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None: ...

    def stamp_lookup(self, account: str) -> SendStamp | None: ...

    def store_answer(
        self, account: str, key: CacheKey, sent: SendStamp, headers: bytes, body: bytes
    ) -> None: ...

    def begin_write(self, account: str) -> None: ...

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None: ...


class _Lookup:
    """An open request whose answer may be kept."""

    __slots__ = ("account", "key", "sent")

    def __init__(self, account: str, key: CacheKey) -> None:
        self.account, self.key = account, key
        self.sent = dict[int, SendStamp | None]()  # by attempt


def keeping(kind: type[N], closing: Keeping, keep: frozenset[str]) -> type[N]:
    """The class over ``kind``; ``keep`` names the classes of requests whose answers are kept."""

    class KeepingNode(kind):  # type: ignore[valid-type, misc]
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            self._lookups = dict[int, _Lookup]()
            self._changing = dict[int, str]()  # open requests that change something: their accounts
            self._sure = False  # of the request that is being closed: a server has answered it
            self._effects = _effects(self._settings)

        def retune(self, settings: api.Settings) -> None:
            self._effects = _effects(settings)
            super().retune(settings)

        def arrived(self, request: ClientRequest) -> None:
            event = request.event
            assert event is not None
            if closing.asks(event.account):
                effect = event.effect or self._effects.get(event.request_class)
                if effect is not api.Effect.SAFE:
                    self._changing[event.id] = event.account
                    closing.begin_write(event.account)
                elif (key := _key(request, event)) is not None:
                    if self._served(request, event, key):
                        return
                    self._lookups[event.id] = _Lookup(event.account, key)
            super().arrived(request)

        def _served(self, request: ClientRequest, event: api.Request, key: CacheKey) -> bool:
            found = closing.find_answer(request.id.decode("latin-1"), event.account, key)
            if found is None:
                return False
            kept, age = found
            request.respond(200, kept.body, b"%bAge: %d\r\n" % (kept.headers, max(0, int(age))))
            if (log := getattr(self, "kept", None)) is not None:  # of a kind with an access log
                log(request, len(kept.body))
            return True

        def _send(self, action: api.Send) -> None:
            lookup, opened = self._lookups.get(action.id), self._open.get(action.id)
            if lookup is not None and opened is not None:
                lookup.sent[len(opened.attempts)] = closing.stamp_lookup(lookup.account)
            super()._send(action)

        def _attempted(self, id: int, number: int, attempt: Exchange) -> None:
            if attempt.status is api.Status.OK and id in self._open:
                lookup = self._lookups.get(id)
                sent = lookup.sent.get(number) if lookup is not None else None
                if lookup is not None and sent is not None and attempt.download is None:
                    headers = attempt.answer_headers
                    if not PRIVATE_ANSWER.search(headers):
                        closing.store_answer(lookup.account, lookup.key, sent, headers, attempt.answer)
                self._sure = id in self._changing
            try:
                super()._attempted(id, number, attempt)
            finally:
                self._sure = False

        def _close(self, id: int) -> Any:
            opened = super()._close(id)
            if opened is not None:
                self._lookups.pop(id, None)
                if (account := self._changing.pop(id, None)) is not None:
                    # Attempts that nobody waits for any longer may run on at their servers.
                    tried = len(opened.attempts)
                    closing.end_write(account, tried > 0, self._sure and tried == 1)
            return opened

    def _key(request: ClientRequest, event: api.Request) -> CacheKey | None:
        """Under what an answer is kept; None for a request whose answer is not."""
        if event.request_class not in keep or request.dialect is not None or request.upload is not None:
            return None
        method, _, rest = request.head.partition(b" ")
        if method != b"GET" or PRIVATE_REQUEST.search(request.head):
            return None
        return event.request_class, event.plan, rest.partition(b" ")[0]

    return KeepingNode


def _effects(settings: api.Settings) -> dict[str, api.Effect]:
    return {each.name: each.effect for each in settings.classes}
