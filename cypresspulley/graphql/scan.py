"""Checks a document against bounds before it is parsed. Does no I/O.

The parser takes about 7 us per token and the validator several times that, so documents are limited before they reach
them, by a scan in C (``re``) that stops at the first bound exceeded. Tokens are those of the GraphQL specification
(section 2.1): ignored commas and comments do not count, and a string counts as one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError

MAX_TEXT_CHARACTERS = 64 * 1024  # as many as the bytes that a body may have
TOKEN_PATTERN = re.compile(
    r"(?P<skip>[\s,\ufeff]+|\#[^\r\n]*)|(?P<open>[{(\[])|(?P<close>[})\]])|(?P<at>@)|(?P<colon>:)"
    r'|(?P<word>"""(?:[^"\\]|\\.|"(?!""))*"""|"(?:[^"\\\r\n]|\\.)*"|\.\.\.|[_A-Za-z][_0-9A-Za-z]*'
    r"|-?[0-9][0-9.eE+-]*|[!$&=|])",
    re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """The maximum counts for a document, and of operations for a ``batch``.

    ``steps`` bounds the traversal that prices a request, which a few fragments that spread each other can make
    exponential.
    """

    tokens: int = 250
    depth: int = 12
    aliases: int = 30
    roots: int = 10
    directives: int = 20
    batch: int = 10
    steps: int = 4000


def count_tokens(text: str, bounds: Bounds) -> int:
    """Return the number of tokens. Raise GraphQLRefusedError if a bound is exceeded or a token is invalid.

    Nesting is counted over all kinds of brackets, so that the parser's recursion is bounded. The limit is twice the
    depth of selections, plus a margin for lists in arguments.
    """
    if len(text) > MAX_TEXT_CHARACTERS:
        raise GraphQLRefusedError(
            ErrorCode.TOO_COMPLEX, f"{len(text)} characters; at most {MAX_TEXT_CHARACTERS}"
        )
    tokens = depth = directives = position = 0
    max_brackets = 2 * bounds.depth + 8
    while position < len(text):
        match = TOKEN_PATTERN.match(text, position)
        if match is None:
            raise GraphQLRefusedError(
                ErrorCode.PARSE_FAILED,
                f"no token at character {position}: {text[position : position + 12]!r}",
            )
        position = match.end()
        kind = match.lastgroup
        if kind == "skip":
            continue
        tokens += 1
        if kind == "open":
            depth += 1
        elif kind == "close":
            depth -= 1
        elif kind == "at":
            directives += 1
        _check_bound("tokens", tokens, bounds.tokens)
        _check_bound("levels of brackets", depth, max_brackets)
        _check_bound("directives", directives, bounds.directives)
    return tokens


def _check_bound(counted: str, count: int, limit: int) -> None:
    if count > limit:
        raise GraphQLRefusedError(ErrorCode.TOO_COMPLEX, f"more than {limit} {counted}")
