"""Why a GraphQL request is not passed on: a stable code, an HTTP status and a text."""

from __future__ import annotations

from enum import Enum


class ErrorCode(Enum):
    """``extensions.code`` of an error made here, with the status that goes with it. Codes never change."""

    BAD_REQUEST = ("BAD_REQUEST", 400)  # no GraphQL-over-HTTP request
    PARSE_FAILED = ("GRAPHQL_PARSE_FAILED", 400)
    VALIDATION_FAILED = ("GRAPHQL_VALIDATION_FAILED", 400)
    OPERATION_UNKNOWN = ("OPERATION_UNKNOWN", 400)  # none selected, or one that is not in the document
    VARIABLES_WRONG = ("VARIABLES_WRONG", 400)
    TOO_COMPLEX = (
        "QUERY_TOO_COMPLEX",
        400,
    )  # past a bound on tokens, depth, aliases, roots, directives, batch
    TOO_DEAR = ("QUERY_TOO_DEAR", 400)  # no store of this plan could ever hold its upper bound
    INTROSPECTION_OFF = ("INTROSPECTION_OFF", 400)
    BATCH_OFF = ("BATCH_OFF", 400)
    PERSISTED_NOT_FOUND = ("PERSISTED_QUERY_NOT_FOUND", 404)
    PERSISTED_ONLY = ("PERSISTED_QUERY_ONLY", 403)
    PERSISTED_HASH_MISMATCH = ("PERSISTED_QUERY_HASH_MISMATCH", 400)
    METHOD_NOT_ALLOWED = ("METHOD_NOT_ALLOWED", 405)
    NOT_ACCEPTABLE = ("NOT_ACCEPTABLE", 406)
    UNSUPPORTED_MEDIA_TYPE = ("UNSUPPORTED_MEDIA_TYPE", 415)
    ANALYSIS_BUSY = ("ANALYSIS_BUSY", 429)  # too many documents are being read at once
    COST_LIMITED = ("COST_LIMITED", 429)  # the decisions turned it away: trying again is harmless
    MAY_HAVE_RUN = ("MAY_HAVE_RUN", 502)
    TIMED_OUT = ("TIMED_OUT", 504)
    INTERNAL_ERROR = ("INTERNAL_ERROR", 500)

    @property
    def wire_name(self) -> str:
        return self.value[0]

    @property
    def status(self) -> int:
        return self.value[1]


class GraphQLRefusedError(Exception):
    """A request that goes no further; ``text`` is for the client and holds nothing of another's."""

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(f"{code.wire_name}: {text}")
        self.code = code
        self.text = text
