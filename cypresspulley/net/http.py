"""HTTP limits, header lists and address parsing, shared by the client and server sides of the limiter."""

from __future__ import annotations

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
# Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1), and the framing headers, which are generated again
# because the body is forwarded as a whole.
UNFORWARDED_HEADERS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-authenticate",
        b"proxy-authorization", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    )
)  # fmt: skip


def split_address(text: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host is in brackets. Raise ValueError if it is not an address."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address: {text!r:.60}")
    return host.strip("[]"), int(port)


def join_address(address: tuple[str, int]) -> str:
    """Return ``host:port`` for an address, with an IPv6 host in brackets."""
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
