"""What both sides of the limiter hold of HTTP: limits, headers and addresses."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
# Headers that belong to one connection and are never passed on (RFC 9110, 7.6.1), and the framing,
# which is made anew because the body is passed on whole.
UNFORWARDED_HEADERS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-authenticate",
        b"proxy-authorization", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    )
)  # fmt: skip


def split_address(text: str) -> tuple[str, int]:
    """``host:port`` in parts; IPv6 hosts stand in brackets."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address: {text!r:.60}")
    return host.strip("[]"), int(port)


def join_address(address: tuple[str, int]) -> str:
    """``split_address`` undone."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
