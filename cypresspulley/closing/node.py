"""A node that serves answers from the cache. Such a request causes no event, so no lane, quota or server is involved.

The class is built on top of another node class (the plain one, or one with an access log) and passes everything that
it does not answer itself to that class's methods.
"""

from __future__ import annotations

import re
from typing import Any, Protocol, TypeVar

from cypresspulley import interface as api
from cypresspulley.closing.cache import CachedAnswer, CacheKey, SendStamp
from cypresspulley.net.client_request import ClientRequest
from cypresspulley.net.node import Node
from cypresspulley.net.upstream import Exchange

# Headers of requests whose answer depends on more than request class, target and plan, and of answers that are not
# valid for other clients' equal requests: RFC 9111, 3 and 4.1. ``Age`` means that the answer comes from another cache.
PRIVATE_REQUEST = re.compile(rb"(?im)^(?:range|if-[a-z-]+|cache-control|pragma|authorization|cookie):")
PRIVATE_ANSWER = re.compile(
    rb"(?im)^(?:set-cookie|vary|age|content-range|content-encoding|cache-control:.*\b(?:no-store|no-cache|private)\b)"
)

N = TypeVar("N", bound=Node)


class CacheController(Protocol):
    """The interface that a node needs; ``closing.limiter.ClosingCache`` implements it."""

    def is_cached_account(self, account: str) -> bool: ...

    def find_answer(self, id: str, account: str, key: CacheKey) -> tuple[CachedAnswer, float] | None: ...

    def stamp_lookup(self, account: str) -> SendStamp | None: ...

    def store_answer(
        self, account: str, key: CacheKey, stamp: SendStamp, headers: bytes, body: bytes
    ) -> None: ...

    def begin_write(self, account: str) -> None: ...

    def end_write(self, account: str, reached_server: bool, is_finished: bool) -> None: ...


class _Lookup:
    """An open request whose answer may be cached."""

    __slots__ = ("account", "key", "stamps")

    def __init__(self, account: str, key: CacheKey) -> None:
        self.account, self.key = account, key
        self.stamps = dict[int, SendStamp | None]()  # by attempt number


def make_caching_node(kind: type[N], cache: CacheController, cached_classes: frozenset[str]) -> type[N]:
    """Return a subclass of ``kind`` that caches the answers to requests of the given request classes."""

    class CachingNode(kind):  # type: ignore[valid-type, misc]
        def __init__(self, *arguments: Any) -> None:
            super().__init__(*arguments)
            self._lookups = dict[int, _Lookup]()
            self._writes = dict[
                int, str
            ]()  # accounts of open requests that are not safe to repeat, by event id
            self._is_answered = False  # whether a server has answered the write that is being closed
            self._effects = _effects_by_class(self._settings)

        def retune(self, settings: api.Settings) -> None:
            self._effects = _effects_by_class(settings)
            super().retune(settings)

        def arrived(self, request: ClientRequest) -> None:
            event = request.event
            assert event is not None
            if cache.is_cached_account(event.account):
                effect = event.effect or self._effects.get(event.request_class)
                if effect is not api.Effect.SAFE:
                    self._writes[event.id] = event.account
                    cache.begin_write(event.account)
                elif (key := _cache_key(request, event)) is not None:
                    if self._respond_from_cache(request, event, key):
                        return
                    self._lookups[event.id] = _Lookup(event.account, key)
            super().arrived(request)

        def _respond_from_cache(self, request: ClientRequest, event: api.Request, key: CacheKey) -> bool:
            found = cache.find_answer(request.id.decode("latin-1"), event.account, key)
            if found is None:
                return False
            answer, age = found
            request.respond(200, answer.body, b"%bAge: %d\r\n" % (answer.headers, max(0, int(age))))
            if (
                log := getattr(self, "log_cached_response", None)
            ) is not None:  # if ``kind`` writes an access log
                log(request, len(answer.body))
            return True

        def _send(self, action: api.Send) -> None:
            lookup, open_request = self._lookups.get(action.id), self._open_requests.get(action.id)
            if lookup is not None and open_request is not None:
                lookup.stamps[len(open_request.attempts)] = cache.stamp_lookup(lookup.account)
            super()._send(action)

        def _handle_attempt_end(self, id: int, number: int, attempt: Exchange) -> None:
            if attempt.status is api.Status.OK and id in self._open_requests:
                lookup = self._lookups.get(id)
                stamp = lookup.stamps.get(number) if lookup is not None else None
                if lookup is not None and stamp is not None and attempt.download is None:
                    headers = attempt.response_headers
                    if not PRIVATE_ANSWER.search(headers):
                        cache.store_answer(lookup.account, lookup.key, stamp, headers, attempt.response_body)
                self._is_answered = id in self._writes
            try:
                super()._handle_attempt_end(id, number, attempt)
            finally:
                self._is_answered = False

        def _remove_request(self, id: int) -> Any:
            open_request = super()._remove_request(id)
            if open_request is not None:
                self._lookups.pop(id, None)
                if (account := self._writes.pop(id, None)) is not None:
                    # Abandoned attempts may still be running at their servers, so only a single answered attempt
                    # counts as finished.
                    attempts = len(open_request.attempts)
                    cache.end_write(account, attempts > 0, self._is_answered and attempts == 1)
            return open_request

    def _cache_key(request: ClientRequest, event: api.Request) -> CacheKey | None:
        """Return the key of a request's answer, or None if the answer is not cached."""
        if (
            event.request_class not in cached_classes
            or request.dialect is not None
            or request.upload is not None
        ):
            return None
        method, _, rest = request.head.partition(b" ")
        if method != b"GET" or PRIVATE_REQUEST.search(request.head):
            return None
        return event.request_class, event.plan, rest.partition(b" ")[0]

    return CachingNode


def _effects_by_class(settings: api.Settings) -> dict[str, api.Effect]:
    return {each.name: each.effect for each in settings.classes}
