"""Documents that members fetch from each other by digest, in numbered parts. No I/O and no clock."""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from cypresspulley.fleet.records import MAX_DOCUMENT_BYTES
from cypresspulley.fleet.wire import DIGEST_BYTES, PART_BYTES, DocumentPart, DocumentRequest

MAX_DOCUMENTS = 16  # the least recently used one is evicted
MAX_REQUESTED = 8
PARTS_PER_FETCH = 8  # parts in one request
RETRIES_PER_PERIOD = 8  # requests to another member after one that lacks the document


class Documents:
    """The stored documents and the parts received of requested ones."""

    def __init__(self) -> None:
        self._documents = OrderedDict[bytes, bytes]()
        # By digest: the number of parts (0 if unknown), and the parts received by number.
        self._requested = dict[bytes, tuple[int, dict[int, bytes]]]()
        self._retries = 0

    def __repr__(self) -> str:
        return f"<Documents: {len(self._documents)} stored, {len(self._requested)} requested>"

    def store(self, body: bytes) -> str:
        """Store a document and return its digest in hex; ``ValueError`` over ``MAX_DOCUMENT_BYTES``."""
        if len(body) > MAX_DOCUMENT_BYTES:
            raise ValueError(f"document: expected at most {MAX_DOCUMENT_BYTES} bytes, got {len(body)}")
        digest = blake2b(body, digest_size=DIGEST_BYTES).digest()
        self._requested.pop(digest, None)
        self._documents[digest] = body
        self._documents.move_to_end(digest)
        while len(self._documents) > MAX_DOCUMENTS:
            self._documents.popitem(last=False)
        return digest.hex()

    def request(self, digest: str) -> None:
        """Request a document, dropping the oldest request over ``MAX_REQUESTED``.

        Raise ``ValueError`` for an invalid digest.
        """
        key = bytes.fromhex(digest)
        if len(key) != DIGEST_BYTES:
            raise ValueError(
                f"document: expected a digest of {2 * DIGEST_BYTES} hex digits, got {digest!r:.60}"
            )
        if key not in self._documents and key not in self._requested:
            while len(self._requested) >= MAX_REQUESTED:
                del self._requested[next(iter(self._requested))]
            self._requested[key] = (0, {})

    def get(self, digest: str) -> bytes | None:
        """Return a stored document; None for one that is not stored."""
        key = bytes.fromhex(digest)
        body = self._documents.get(key)
        if body is not None:
            self._documents.move_to_end(key)
        return body

    def start_period(self) -> list[bytes]:
        """Reset the retries for a new period and return the digests of the requested documents."""
        self._retries = 0
        return list(self._requested)

    def may_retry(self) -> bool:
        """Return whether another member may be asked in this period, after one that lacks the document."""
        self._retries += 1
        return self._retries <= RETRIES_PER_PERIOD

    def next_parts_request(self, digest: bytes) -> DocumentRequest | None:
        """Return the request for the next missing parts; None for a document that is not requested."""
        if digest not in self._requested:
            return None
        count, parts = self._requested[digest]
        missing = [number for number in range(count or PARTS_PER_FETCH) if number not in parts][
            :PARTS_PER_FETCH
        ]
        mask = sum(1 << number for number in missing)
        return DocumentRequest(digest, mask.to_bytes((max(missing, default=0) + 8) // 8, "little"))

    def requested_parts(self, request: DocumentRequest) -> list[DocumentPart] | None:
        """Return the parts that a request asks for, at most ``PARTS_PER_FETCH``; None without the document."""
        body = self._documents.get(request.digest)
        if body is None:
            return None
        self._documents.move_to_end(request.digest)
        count = max(1, -(-len(body) // PART_BYTES))
        mask = int.from_bytes(request.part_mask, "little")
        numbers = [number for number in range(count) if mask >> number & 1][:PARTS_PER_FETCH]
        return [
            DocumentPart(request.digest, n, count, body[n * PART_BYTES : (n + 1) * PART_BYTES])
            for n in numbers
        ]

    def add_part(self, part: DocumentPart) -> bool:
        """Add a part. Return whether to request the next ones: all parts of the last request have arrived."""
        if part.digest not in self._requested or part.number >= part.count:
            return False
        count, parts = self._requested[part.digest]
        if (
            count and count != part.count
        ):  # one of the two counts is false and it is unknown which: start again
            self._requested[part.digest] = (0, {})
            return False
        parts[part.number] = part.body
        self._requested[part.digest] = (part.count, parts)
        if len(parts) < part.count:
            return len(parts) % PARTS_PER_FETCH == 0
        body = b"".join(parts[number] for number in range(part.count))
        if (
            blake2b(body, digest_size=DIGEST_BYTES).digest() == part.digest
            and len(body) <= MAX_DOCUMENT_BYTES
        ):
            self.store(body)
        else:
            self._requested[part.digest] = (0, {})
        return False
