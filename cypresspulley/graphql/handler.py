"""Handles GraphQL requests on the limiter's listener: prices them and submits them to the policy.

This module makes no decisions. Prices come from ``document`` and the time limit for analysis from ``budget``. Whether,
where and how often a request is sent is decided by the policy, to which it is a request like any other, with units and
a request class.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Generator
from dataclasses import dataclass
from hashlib import sha256

from cypresspulley import interface as api
from cypresspulley.graphql.budget import AnalysisBudget
from cypresspulley.graphql.document import (
    DocumentCache,
    Effect,
    OperationRequest,
    PricedRequest,
    price_request,
)
from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError
from cypresspulley.graphql.options import Options, OptionsError
from cypresspulley.graphql.request import (
    RESPONSE_MEDIA_TYPE,
    GraphQLRequest,
    error_body,
    parse_get,
    parse_post,
)
from cypresspulley.graphql.responses import parse_response, valid_cost
from cypresspulley.net.client_request import ClientRequest, ParsedRequest
from cypresspulley.net.requests import RequestMetadata
from cypresspulley.net.upstream import Exchange

log = logging.getLogger(__name__)

ACCEPT_HEADER = b"accept"
CONTENT_TYPE_HEADER = b"content-type"
# Time for which an analysis may block the event loop before it yields. A single step may take longer.
MAX_TURN_SECONDS = 0.001
CODES_BY_STATUS = {
    429: ErrorCode.COST_LIMITED,
    502: ErrorCode.MAY_HAVE_RUN,
    504: ErrorCode.TIMED_OUT,
    500: ErrorCode.INTERNAL_ERROR,
    405: ErrorCode.METHOD_NOT_ALLOWED,
}
ERROR_TEXTS = {
    ErrorCode.COST_LIMITED: "turned away; trying again later is harmless",
    ErrorCode.TOO_DEAR: "its upper bound is more than this account's ceiling or quota can ever hold here",
    ErrorCode.MAY_HAVE_RUN: "failed; it may have run",
    ErrorCode.TIMED_OUT: "no answer in time; it may have run",
    ErrorCode.INTERNAL_ERROR: "a fault of the limiter",
    ErrorCode.METHOD_NOT_ALLOWED: "mutations need POST",
    ErrorCode.ANALYSIS_BUSY: "too many unknown documents at once; known ones are taken",
}
BUSY_RETRY_AFTER_SECONDS = 1.0  # the analysis budget is renewed every second


class GraphQLDialect:
    """Formats errors for one request's client, and interprets its server's response."""

    __slots__ = ("_options", "media_type", "priced")

    def __init__(self, options: Options) -> None:
        self._options = options
        self.media_type = RESPONSE_MEDIA_TYPE
        self.priced: PricedRequest | None = None

    def format_error(
        self, status: int, retry_after: float | None, why: str, units_left: float
    ) -> tuple[int, bytes, bytes, float | None]:
        """Return status, headers, body and Retry-After (seconds) of a response that the limiter generates."""
        code = ErrorCode.TOO_DEAR if why == "too dear" else CODES_BY_STATUS.get(status, ErrorCode.BAD_REQUEST)
        if code is ErrorCode.TOO_DEAR:
            retry_after = None  # a retry cannot succeed
        extensions = dict[str, object]()
        if self.priced is not None:
            price = self.priced.price
            extensions["cost"] = {"expected": round(price.expected, 3), "bound": round(price.bound, 3)}
            if code is ErrorCode.COST_LIMITED and units_left >= 0:
                extensions["left"] = round(units_left * self._options.points_per_unit, 3)
        if retry_after is not None:
            extensions["retryAfter"] = round(retry_after, 3)
        return self._format_response(
            code, status if code is not ErrorCode.TOO_DEAR else code.status, extensions, "", retry_after
        )

    def format_refusal(self, error: GraphQLRefusedError) -> tuple[int, bytes, bytes, float | None]:
        """Return status, headers, body and Retry-After (seconds) for a request rejected before its submission."""
        retry_after = BUSY_RETRY_AFTER_SECONDS if error.code is ErrorCode.ANALYSIS_BUSY else None
        return self._format_response(error.code, error.code.status, {}, error.text, retry_after)

    def _format_response(
        self,
        code: ErrorCode,
        status: int,
        extensions: dict[str, object],
        text: str,
        retry_after: float | None,
    ) -> tuple[int, bytes, bytes, float | None]:
        headers = f"Content-Type: {self.media_type}; charset=utf-8\r\n".encode()
        if code is ErrorCode.METHOD_NOT_ALLOWED:
            headers += b"Allow: POST\r\n"
        return (
            status,
            headers,
            error_body(code, text or ERROR_TEXTS.get(code, "not a GraphQL request"), extensions),
            retry_after,
        )

    def process_response(self, exchange: Exchange) -> None:
        """Read a server's 200 response.

        The cost that it states becomes the units charged. If it proves that nothing was executed, the exchange gets
        the status FULL, which is not a response for the client.
        """
        assert self.priced is not None
        points = self._options.points_per_unit
        max_points = max(self.priced.price.bound, self._options.minimum_points)
        cost_in_extensions = self._options.cost == "extensions"
        if cost_in_extensions or self._options.never_ran_codes:
            info = parse_response(
                exchange.response_body,
                frozenset(self._options.never_ran_codes),
                max_points,
                cost_in_extensions,
            )
            if info.not_executed:
                exchange.status, exchange.charged_units = api.Status.FULL, None
                return
            if cost_in_extensions:
                exchange.charged_units = None if info.cost is None else info.cost / points
        if not cost_in_extensions:
            exchange.charged_units = valid_cost(exchange.charged_units, max_points / points)


@dataclass(slots=True)
class _PendingAnalysis:
    """A request whose documents are being analyzed. ``received_at`` is in seconds of the handler's clock."""

    request: ClientRequest
    dialect: GraphQLDialect
    metadata: RequestMetadata
    parsed: ParsedRequest
    graphql_request: GraphQLRequest
    steps: Generator[None, None, PricedRequest]
    received_at: float


class GraphQLHandler:
    """Serves the requests to the path of the options. See ``net.client_request.PathHandler``."""

    headers = frozenset((ACCEPT_HEADER, CONTENT_TYPE_HEADER))

    def __init__(
        self, settings: api.Settings, options: Options, documents: DocumentCache, clock: Callable[[], float]
    ) -> None:
        self.path = options.path
        self._options = options
        self._documents = documents
        self._clock = clock
        self._budget = AnalysisBudget(options.reading)
        self._classes_by_effect = _classes_by_effect(settings, options)
        self._class_effects = _effects_by_class(settings)
        self._ids = 0
        self._loop = asyncio.get_running_loop()
        self.longest_turn_s = 0.0  # longest time for which a turn of analysis blocked the loop
        _warm_up(documents)

    def retune(self, settings: api.Settings) -> None:
        """Apply new settings: a request whose form its class no longer allows to be repeated is sent once."""
        self._class_effects = _effects_by_class(settings)
        try:
            _classes_by_effect(settings, self._options)
        except OptionsError as error:
            log.error("%s; its requests are sent once, until the settings fit again", error)

    def handle_request(self, request: ClientRequest, parsed: ParsedRequest) -> None:
        """Respond to a request that was received in full, or submit it, possibly some turns of the event loop later."""
        request.dialect = dialect = GraphQLDialect(self._options)
        metadata = parsed.reader.read_metadata(parsed.query, parsed.fields)
        parsed.claim_request_id(request)
        try:
            graphql_request = self._parse_request(parsed, request)
            dialect.media_type = graphql_request.media_type
            self._spend_budget(metadata, graphql_request)
        except GraphQLRefusedError as error:
            return request.send_response(*dialect.format_refusal(error))
        steps = price_request(self._documents, list(graphql_request.operations), self._options.introspection)
        self._continue_analysis(
            _PendingAnalysis(request, dialect, metadata, parsed, graphql_request, steps, self._clock())
        )

    def _parse_request(self, parsed: ParsedRequest, request: ClientRequest) -> GraphQLRequest:
        accept = parsed.fields.get(ACCEPT_HEADER, b"").decode("latin-1")
        if parsed.method == b"GET":
            graphql_request = parse_get(parsed.query, accept)
        else:
            graphql_request = parse_post(
                parsed.fields.get(CONTENT_TYPE_HEADER, b"").decode("latin-1"), accept, request.body
            )
        if graphql_request.batch and self._options.batch == "refuse":
            raise GraphQLRefusedError(ErrorCode.BATCH_OFF, "one operation a request")
        return graphql_request

    def _spend_budget(self, metadata: RequestMetadata, graphql_request: GraphQLRequest) -> None:
        """Spend budget on the documents that are not cached. Raise GraphQLRefusedError if it is exhausted."""
        if len(graphql_request.operations) > self._options.bounds.batch:
            raise GraphQLRefusedError(
                ErrorCode.TOO_COMPLEX, f"more than {self._options.bounds.batch} operations in a batch"
            )
        seconds = 0.0
        for operation in graphql_request.operations:
            text = self._documents.resolve_text(operation)
            if self._documents.find(text) is None:
                seconds += self._budget.estimate(len(text), self._options.bounds.tokens)
        if seconds and not self._budget.try_spend(self._clock(), metadata.account, seconds):
            raise GraphQLRefusedError(ErrorCode.ANALYSIS_BUSY, ERROR_TEXTS[ErrorCode.ANALYSIS_BUSY])

    def _continue_analysis(self, analysis: _PendingAnalysis) -> None:
        """Run analysis steps for up to MAX_TURN_SECONDS, then yield to the event loop."""
        request = analysis.request
        if request.client_gone:
            return analysis.steps.close()
        started_at = self._loop.time()
        try:
            priced = self._run_steps(analysis, started_at + MAX_TURN_SECONDS)
            if priced is None:
                self._loop.call_soon(self._continue_analysis, analysis)
            else:
                self._submit(analysis, priced)
        except GraphQLRefusedError as error:
            request.send_response(*analysis.dialect.format_refusal(error))
        except Exception:
            log.exception("Failed to analyze or submit a GraphQL request")
            request.fail(analysis.parsed.frontend.handler)
        self.longest_turn_s = max(self.longest_turn_s, self._loop.time() - started_at)

    def _run_steps(self, analysis: _PendingAnalysis, until: float) -> PricedRequest | None:
        """Return the priced request, or None if there are steps left at ``until``, by the loop's clock."""
        try:
            while self._loop.time() < until:
                next(analysis.steps)
        except StopIteration as done:
            priced: PricedRequest = done.value
            return priced
        return None

    def _submit(self, analysis: _PendingAnalysis, priced: PricedRequest) -> None:
        """Submit a priced request, or respond if it is a mutation by GET or its deadline has passed."""
        request, metadata, parsed = analysis.request, analysis.metadata, analysis.parsed
        analysis.dialect.priced = priced
        if parsed.method == b"GET" and priced.effect is not Effect.QUERY:
            return request.respond(405)
        ttl = metadata.ttl - (self._clock() - analysis.received_at)
        if ttl <= 0:
            return request.respond(504)
        name = self._classes_by_effect[priced.effect]
        bound = max(priced.price.bound, self._options.minimum_points) / self._options.points_per_unit
        units = max(priced.price.expected, self._options.minimum_points) / self._options.points_per_unit
        key = self._idempotency_key(priced, metadata)
        request.event = api.Request(
            parsed.reader.next_id(), name, metadata.plan, ttl, metadata.account, min(units, bound), metadata.spread,
            metadata.repeat, bound, effect=self._binding_effect(name, priced.effect, key is not None),
        )  # fmt: skip
        request.head = parsed.build_head(name, key)
        parsed.submit(request)
        return None

    def _binding_effect(self, name: str, effect: Effect, has_key: bool) -> api.Effect:
        """Return the effect that decides the attempts of a request: the stricter one of its form and its class.

        Servers drop repeats by the key, so a request without one is never repeated as a keyed one.
        """
        by_form = api.Effect.KEYED if has_key else api.Effect.UNSAFE
        match self._class_effects.get(name):
            case api.Effect.SAFE:
                return api.Effect.SAFE if effect is Effect.QUERY else by_form
            case api.Effect.KEYED:
                return by_form
            case _:
                return api.Effect.UNSAFE

    def _idempotency_key(self, priced: PricedRequest, metadata: RequestMetadata) -> bytes | None:
        """Return the idempotency key of a keyed mutation, or None for other requests.

        It depends only on the account and the client's key, so that it is the same through every limiter.
        """
        if priced.effect is not Effect.KEYED or not self._options.keyed:
            return None
        return sha256(f"{metadata.account}/{priced.key}".encode()).hexdigest()[:32].encode()


def _effects_by_class(settings: api.Settings) -> dict[str, api.Effect]:
    return {each.name: each.effect for each in settings.classes}


def _classes_by_effect(settings: api.Settings, options: Options) -> dict[Effect, str]:
    """Return the request class for each effect. Raise OptionsError for an unknown class or one of another effect."""
    effects = _effects_by_class(settings)
    expected_effects = [
        ("query", options.query, api.Effect.SAFE),
        ("mutation", options.mutation, api.Effect.UNSAFE),
    ]
    if options.keyed:
        expected_effects.append(("keyed", options.keyed, api.Effect.KEYED))
    for key, name, effect in expected_effects:
        if effects.get(name) is not effect:
            candidates = (
                ", ".join(n for n, e in effects.items() if e is effect)
                or "a class of this effect, but there is none"
            )
            raise OptionsError(
                f"graphql.{key}: {name!r} is not a class of effect {effect.value}; expected {candidates}"
            )
    keyed = options.keyed or options.mutation
    return {Effect.QUERY: options.query, Effect.KEYED: keyed, Effect.MUTATION: options.mutation}


def _warm_up(documents: DocumentCache) -> None:
    """Price a trivial document, so that the library builds its tables for the schema before the first request."""
    steps = price_request(documents, [OperationRequest("{__typename}")])
    while next(steps, StopIteration) is not StopIteration:
        pass
