"""Bounds on a query's text before any parser sees it; free of I/O.

The parser costs some 7 us a token and the validator several times that, so what may reach them is bounded here,
by a scan in C (``re``) that stops at the first bound. Tokens are those of the GraphQL specification (section 2.1);
an ignored comma or comment counts nothing, a string counts one.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError

MAX_TEXT = 64 * 1024  # bytes: a body's bound
TOKEN = re.compile(
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


def scan(text: str, bounds: Bounds) -> int:
    """The number of tokens; ``GraphQLRefusedError`` past a bound or at what is no token.

    Nesting is counted over all kinds of brackets, so that the parser's recursion is bounded before it starts
    (twice the selections' depth, and room for lists in arguments).
    """
    if len(text) > MAX_TEXT:
        raise GraphQLRefusedError(ErrorCode.TOO_COMPLEX, f"{len(text)} characters; at most {MAX_TEXT}")
    tokens = depth = directives = at = 0
    deepest = 2 * bounds.depth + 8
    while at < len(text):
        found = TOKEN.match(text, at)
        if found is None:
            raise GraphQLRefusedError(
                ErrorCode.PARSE_FAILED, f"no token at character {at}: {text[at : at + 12]!r}"
            )
        at = found.end()
        kind = found.lastgroup
        if kind == "skip":
            continue
        tokens += 1
        if kind == "open":
            depth += 1
        elif kind == "close":
            depth -= 1
        elif kind == "at":
            directives += 1
        _within("tokens", tokens, bounds.tokens)
        _within("levels of brackets", depth, deepest)
        _within("directives", directives, bounds.directives)
    return tokens


def _within(what: str, count: int, most: int) -> None:
    if count > most:
        raise GraphQLRefusedError(ErrorCode.TOO_COMPLEX, f"more than {most} {what}")
