"""Parses GraphQL requests over HTTP and formats the bodies of errors. Does no I/O.

Follows the specification "GraphQL over HTTP" (working draft): POST with ``application/json``, GET with ``query=``
for queries only, and ``application/graphql-response+json`` with meaningful status codes. A client that accepts only
``application/json`` gets the same status codes with that media type: an error is never sent with status 200.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from cypresspulley.graphql.document import OperationRequest
from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError

RESPONSE_MEDIA_TYPE = "application/graphql-response+json"
JSON_MEDIA_TYPE = "application/json"
SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")  # a JSON escape that may be half of a character
HASH_DIGITS = 64  # hexadecimal digits of a SHA-256
REQUEST_KEYS = ("query", "operationName", "variables", "extensions")


@dataclass(frozen=True, slots=True)
class GraphQLRequest:
    """The operations of a request. ``batch`` is set if they came as an array. ``media_type`` is for the response."""

    operations: tuple[OperationRequest, ...]
    batch: bool
    media_type: str


def _bad_request(text: str) -> GraphQLRefusedError:
    return GraphQLRefusedError(ErrorCode.BAD_REQUEST, text)


def response_media_type(accept: str) -> str:
    """Return the media type for the response. Raise GraphQLRefusedError (406) if the client accepts none."""
    wanted = [part.partition(";") for part in accept.lower().split(",") if part.strip()]
    names = [name.strip() for name, _, rest in wanted if "q=0" not in rest.replace(" ", "").split(";")]
    if not wanted or RESPONSE_MEDIA_TYPE in names or "*/*" in names or "application/*" in names:
        return RESPONSE_MEDIA_TYPE
    if JSON_MEDIA_TYPE in names:
        return JSON_MEDIA_TYPE
    raise GraphQLRefusedError(
        ErrorCode.NOT_ACCEPTABLE, f"answers come as {RESPONSE_MEDIA_TYPE} or {JSON_MEDIA_TYPE}"
    )


def parse_post(content_type: str, accept: str, body: bytes) -> GraphQLRequest:
    """Parse a POST. Raise GraphQLRefusedError."""
    media_type = response_media_type(accept)
    name, _, rest = content_type.lower().partition(";")
    charset = rest.partition("charset=")[2].strip(' "')
    if name.strip() != JSON_MEDIA_TYPE or charset not in ("", "utf-8", "utf8"):
        raise GraphQLRefusedError(
            ErrorCode.UNSUPPORTED_MEDIA_TYPE, f"the body must be {JSON_MEDIA_TYPE} in UTF-8"
        )
    raw = _parse_json(body, "the body")
    if isinstance(raw, list):
        if not raw:
            raise _bad_request("an empty batch")
        return GraphQLRequest(
            tuple(_parse_operation(each, f"batch[{n}]") for n, each in enumerate(raw)), True, media_type
        )
    return GraphQLRequest((_parse_operation(raw, "the body"),), False, media_type)


def parse_get(query: str, accept: str) -> GraphQLRequest:
    """Parse a GET's query string, in which ``account`` is for the limiter. Raise GraphQLRefusedError."""
    media_type = response_media_type(accept)
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=True, errors="strict", max_num_fields=16
        )
    except ValueError as error:
        raise _bad_request(f"the query string: {error}") from None
    found = dict[str, Any]()
    for key, value in pairs:
        if key in found:
            raise _bad_request(f"{key} stands twice")
        found[key] = value
    for key in ("variables", "extensions"):
        if key in found:
            found[key] = _parse_json(found[key].encode(), key)
    return GraphQLRequest(
        (_parse_operation({k: v for k, v in found.items() if k in REQUEST_KEYS}, "the query string"),),
        False,
        media_type,
    )


def _parse_json(text: bytes, source: str) -> Any:
    try:  # decode explicitly, because the library detects UTF-16 and a server may read the bytes differently
        parsed = json.loads(
            text.decode("utf-8"), object_pairs_hook=_reject_duplicate_keys, parse_constant=_reject_constant
        )
        if SURROGATE_ESCAPE.search(text):
            _check_encodable(parsed, source)
        return parsed
    except GraphQLRefusedError:
        raise
    except (ValueError, RecursionError) as error:
        raise _bad_request(f"{source} is not JSON: {error}") from None


def _check_encodable(parsed: Any, source: str) -> None:
    """Reject half of a surrogate pair: it is no character, and no server could read the text that holds it."""
    try:
        json.dumps(parsed, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        raise _bad_request(f"{source}: expected characters, got half of a surrogate pair") from None


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Reject duplicate keys: the limiter could price one of the values while the server executes the other."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise _bad_request("a key stands twice in one object")
    return found


def _reject_constant(word: str) -> Any:
    raise _bad_request(f"{word} is no JSON number")


def _parse_operation(raw: Any, source: str) -> OperationRequest:
    if not isinstance(raw, dict):
        raise _bad_request(f"{source}: expected an object")
    kinds: dict[str, type] = {"query": str, "operationName": str, "variables": dict, "extensions": dict}
    for key, kind in kinds.items():
        if raw.get(key) is not None and not isinstance(raw[key], kind):
            raise _bad_request(f"{source}: {key} must be {'a text' if kind is str else 'an object'}")
    return OperationRequest(
        raw.get("query"),
        _persisted_hash(raw.get("extensions"), source),
        raw.get("operationName"),
        raw.get("variables"),
    )


def _persisted_hash(extensions: Mapping[str, Any] | None, source: str) -> str | None:
    persisted = (extensions or {}).get("persistedQuery")
    if persisted is None:
        return None
    value = persisted.get("sha256Hash") if isinstance(persisted, dict) else None
    if not isinstance(value, str) or len(value) != HASH_DIGITS or not set(value) <= set("0123456789abcdef"):
        raise _bad_request(f"{source}: persistedQuery.sha256Hash must be {HASH_DIGITS} hex digits")
    return value


def error_body(code: ErrorCode, text: str, extensions: Mapping[str, Any] | None = None) -> bytes:
    """Return a response with one entry in ``errors`` and no ``data``: nothing was executed, or it is unknown."""
    entry = {"message": text, "extensions": {"code": code.wire_name, **(extensions or {})}}
    return json.dumps({"errors": [entry]}, separators=(",", ":")).encode()


def log_summary(operations: Sequence[OperationRequest]) -> str:
    """Return one line for a log, without texts and variables, which may contain secrets."""
    names = ", ".join(operation.operation_name or "-" for operation in operations)
    return f"{len(operations)} operation(s): {names:.80}"
