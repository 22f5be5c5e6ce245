"""GraphQL over HTTP: what a request's bytes ask for, and the bodies of errors; free of I/O.

Follows the specification "GraphQL over HTTP" (working draft): POST with ``application/json``, GET with ``query=``
for queries only, ``application/graphql-response+json`` with status codes that tell. A client that accepts only
``application/json`` gets the same codes under that name: an error is never dressed up as a 200.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

from cypresspulley.graphql.document import OperationRequest
from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError

RESPONSE = "application/graphql-response+json"
JSON = "application/json"
HASH_DIGITS = 64
FIELDS = ("query", "operationName", "variables", "extensions")


@dataclass(frozen=True, slots=True)
class Asked:
    """``batch``: it came as an array. ``media``: what the client reads."""

    asks: tuple[OperationRequest, ...]
    batch: bool
    media: str


def _bad(text: str) -> GraphQLRefusedError:
    return GraphQLRefusedError(ErrorCode.BAD_REQUEST, text)


def media_for(accept: str) -> str:
    """The media type to answer in; ``GraphQLRefusedError`` (406) where the client reads none that there is."""
    wanted = [part.partition(";") for part in accept.lower().split(",") if part.strip()]
    names = [name.strip() for name, _, rest in wanted if "q=0" not in rest.replace(" ", "").split(";")]
    if not wanted or RESPONSE in names or "*/*" in names or "application/*" in names:
        return RESPONSE
    if JSON in names:
        return JSON
    raise GraphQLRefusedError(ErrorCode.NOT_ACCEPTABLE, f"answers come as {RESPONSE} or {JSON}")


def read_post(content_type: str, accept: str, body: bytes) -> Asked:
    """A POST. Raises GraphQLRefusedError."""
    media = media_for(accept)
    name, _, rest = content_type.lower().partition(";")
    charset = rest.partition("charset=")[2].strip(' "')
    if name.strip() != JSON or charset not in ("", "utf-8", "utf8"):
        raise GraphQLRefusedError(ErrorCode.UNSUPPORTED_MEDIA_TYPE, f"the body must be {JSON} in UTF-8")
    raw = _json(body, "the body")
    if isinstance(raw, list):
        if not raw:
            raise _bad("an empty batch")
        return Asked(tuple(_ask(each, f"batch[{n}]") for n, each in enumerate(raw)), True, media)
    return Asked((_ask(raw, "the body"),), False, media)


def read_get(query: str, accept: str) -> Asked:
    """A GET's query string; ``account`` in it is the limiter's. Raises GraphQLRefusedError."""
    media = media_for(accept)
    try:
        pairs = parse_qsl(
            query, keep_blank_values=True, strict_parsing=True, errors="strict", max_num_fields=16
        )
    except ValueError as error:
        raise _bad(f"the query string: {error}") from None
    found = dict[str, Any]()
    for key, value in pairs:
        if key in found:
            raise _bad(f"{key} stands twice")
        found[key] = value
    for key in ("variables", "extensions"):
        if key in found:
            found[key] = _json(found[key].encode(), key)
    return Asked((_ask({k: v for k, v in found.items() if k in FIELDS}, "the query string"),), False, media)


def _json(text: bytes, what: str) -> Any:
    try:  # decoded here: the library would guess at UTF-16, and a server might guess otherwise
        return json.loads(text.decode("utf-8"), object_pairs_hook=_once, parse_constant=_no_constant)
    except GraphQLRefusedError:
        raise
    except (ValueError, RecursionError) as error:
        raise _bad(f"{what} is not JSON: {error}") from None


def _once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Two readers may each take another of two equal keys: priced by one, run by the other."""
    found = dict(pairs)
    if len(found) != len(pairs):
        raise _bad("a key stands twice in one object")
    return found


def _no_constant(word: str) -> Any:
    raise _bad(f"{word} is no JSON number")


def _ask(raw: Any, where: str) -> OperationRequest:
    if not isinstance(raw, dict):
        raise _bad(f"{where}: expected an object")
    kinds: dict[str, type] = {"query": str, "operationName": str, "variables": dict, "extensions": dict}
    for key, kind in kinds.items():
        if raw.get(key) is not None and not isinstance(raw[key], kind):
            raise _bad(f"{where}: {key} must be {'a text' if kind is str else 'an object'}")
    return OperationRequest(
        raw.get("query"), _hash(raw.get("extensions"), where), raw.get("operationName"), raw.get("variables")
    )


def _hash(extensions: Mapping[str, Any] | None, where: str) -> str | None:
    persisted = (extensions or {}).get("persistedQuery")
    if persisted is None:
        return None
    value = persisted.get("sha256Hash") if isinstance(persisted, dict) else None
    if not isinstance(value, str) or len(value) != HASH_DIGITS or not set(value) <= set("0123456789abcdef"):
        raise _bad(f"{where}: persistedQuery.sha256Hash must be {HASH_DIGITS} hex digits")
    return value


def error_body(code: ErrorCode, text: str, extensions: Mapping[str, Any] | None = None) -> bytes:
    """A response with one ``errors`` entry and no ``data`` (nothing was executed, or nobody can say)."""
    entry = {"message": text, "extensions": {"code": code.wire_name, **(extensions or {})}}
    return json.dumps({"errors": [entry]}, separators=(",", ":")).encode()


def plain(asks: Sequence[OperationRequest]) -> str:
    """One line for a log: never a text or a variable, which may hold what is secret."""
    names = ", ".join(ask.operation_name or "-" for ask in asks)
    return f"{len(asks)} operation(s): {names:.80}"
