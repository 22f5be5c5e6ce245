"""Errors for GraphQL requests that are not forwarded: a stable code, an HTTP status and a text."""

from __future__ import annotations

from enum import Enum


class ErrorCode(Enum):
    """The ``extensions.code`` of errors that the limiter generates, with their HTTP status. Codes never change."""

    BAD_REQUEST = ("BAD_REQUEST", 400)  # not a GraphQL-over-HTTP request
    PARSE_FAILED = ("GRAPHQL_PARSE_FAILED", 400)
    VALIDATION_FAILED = ("GRAPHQL_VALIDATION_FAILED", 400)
    OPERATION_UNKNOWN = (
        "OPERATION_UNKNOWN",
        400,
    )  # no operation selected, or one that is not in the document
    VARIABLES_WRONG = ("VARIABLES_WRONG", 400)
    # Exceeds a bound on tokens, depth, aliases, roots, directives, batch.
    TOO_COMPLEX = ("QUERY_TOO_COMPLEX", 400)
    TOO_DEAR = ("QUERY_TOO_DEAR", 400)  # its upper bound exceeds the capacity of the plan's token buckets
    INTROSPECTION_OFF = ("INTROSPECTION_OFF", 400)
    BATCH_OFF = ("BATCH_OFF", 400)
    PERSISTED_NOT_FOUND = ("PERSISTED_QUERY_NOT_FOUND", 404)
    PERSISTED_ONLY = ("PERSISTED_QUERY_ONLY", 403)
    PERSISTED_HASH_MISMATCH = ("PERSISTED_QUERY_HASH_MISMATCH", 400)
    METHOD_NOT_ALLOWED = ("METHOD_NOT_ALLOWED", 405)
    NOT_ACCEPTABLE = ("NOT_ACCEPTABLE", 406)
    UNSUPPORTED_MEDIA_TYPE = ("UNSUPPORTED_MEDIA_TYPE", 415)
    ANALYSIS_BUSY = ("ANALYSIS_BUSY", 429)  # the time budget for unknown documents is exhausted
    COST_LIMITED = ("COST_LIMITED", 429)  # rejected before it was sent to a server: safe to retry
    MAY_HAVE_RUN = ("MAY_HAVE_RUN", 502)
    TIMED_OUT = ("TIMED_OUT", 504)
    INTERNAL_ERROR = ("INTERNAL_ERROR", 500)

    @property
    def wire_name(self) -> str:
        """The code as it appears in responses."""
        return self.value[0]

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.value[1]


class GraphQLRefusedError(Exception):
    """A request that is not forwarded. ``text`` is sent to the client and contains no data of other clients."""

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(f"{code.wire_name}: {text}")
        self.code = code
        self.text = text
