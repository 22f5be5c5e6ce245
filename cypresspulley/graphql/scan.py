"""Bounds on a query's text before any parser sees it; free of I/O.

The parser costs some 7 us a token and the validator several times that, so what may reach them is bounded here,
by a scan in C (``re``) that stops at the first bound. Tokens are those of the GraphQL specification (section 2.1);
an ignored comma or comment counts nothing, a string counts one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError

MAX_TEXT_CHARACTERS = 64 * 1024  # bytes: a body's bound
TOKEN_PATTERN = re.compile(
    r"(?P<skip>[\s,\ufeff]+|\#[^\r\n]*)|(?P<open>[{(\[])|(?P<close>[})\]])|(?P<at>@)|(?P<colon>:)"
    r'|(?P<word>"""(?:[^"\\]|\\.|"(?!""))*"""|"(?:[^"\\\r\n]|\\.)*"|\.\.\.|[_A-Za-z][_0-9A-Za-z]*'
    r"|-?[0-9][0-9.eE+-]*|[!$&=|])",
    re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class Bounds:
    """What a document may have at most. Each is a count; ``steps`` bounds the walk that prices it, which a few
    fragments that spread each other can make exponential."""

    tokens: int = 250
    depth: int = 12
    aliases: int = 30
    roots: int = 10
    directives: int = 20
    batch: int = 10
    steps: int = 4000


def count_tokens(text: str, bounds: Bounds) -> int:
    """The number of tokens; ``GraphQLRefusedError`` past a bound or at what is no token.

    Nesting is counted over all kinds of brackets, so that the parser's recursion is bounded before it starts
    (twice the selections' depth, and room for lists in arguments).
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
