"""Parses, validates and prices the operations of a request in short steps, and caches documents.

Analyzing a document is a generator. The preceding scan bounds the work of each step, so that the caller (the
limiter's event loop, a test) can do other work between steps. Documents are cached by their SHA-256 hash, so that a
client cannot craft two texts with the same key. The cache is bounded in bytes, including the parsed form. The module
does no I/O and reads no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Generator, Mapping
from dataclasses import dataclass
from enum import Enum
from hashlib import sha256
from typing import Any

from graphql import (
    ASTValidationRule,
    DocumentNode,
    FragmentDefinitionNode,
    GraphQLError,
    GraphQLSyntaxError,
    OperationDefinitionNode,
    OperationType,
    ParallelVisitor,
    TypeInfo,
    TypeInfoVisitor,
    ValidationContext,
    parse,
    specified_rules,
    visit,
)
from graphql.execution.values import VariableValues, get_variable_values

from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError
from cypresspulley.graphql.price import ComplexityCounters, Price, Pricer, mutation_keys
from cypresspulley.graphql.scan import Bounds, count_tokens
from cypresspulley.graphql.schema import PricedSchema

# Memory of a parsed document per byte of its text, as measured by benchmarks/graphql_cost.py, rounded up.
PARSED_BYTES_PER_TEXT_BYTE = 200
MAX_REPORTED_ERRORS = 3  # validation errors in the message to the client
MAX_TOKEN_RULES_PER_STEP = 400  # product of tokens and rules in one validation step


class Effect(Enum):
    """The effect of running an operation twice: none, prevented by a key, or unsafe."""

    QUERY = "query"
    KEYED = "keyed"
    MUTATION = "mutation"


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document that is valid for the schema."""

    hash: str
    text: str
    operations: Mapping[str, OperationDefinitionNode]
    fragments: Mapping[str, FragmentDefinitionNode]
    size_bytes: int  # estimated memory in the cache


@dataclass(frozen=True, slots=True)
class OperationRequest:
    """One operation of a request as received."""

    text: str | None
    hash: str | None = None
    operation_name: str | None = None
    variables: Mapping[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class PricedRequest:
    """The price and effect of a request, which is one operation or a batch. Only a keyed mutation has a ``key``."""

    price: Price
    effect: Effect
    key: str | None = None


def document_hash(text: str) -> str:
    """Return the SHA-256 of the text in hexadecimal."""
    return sha256(text.encode()).hexdigest()


class DocumentCache:
    """An LRU cache of parsed documents, bounded by ``max_bytes``, and the texts of the persisted documents.

    ``persisted`` is the operators' allow-list (hash to text) and is never evicted. With ``only_persisted``, all other
    documents are rejected.
    """

    def __init__(
        self, priced_schema: PricedSchema, bounds: Bounds, max_bytes: int = 4 << 20,
        persisted: Mapping[str, str] | None = None, only_persisted: bool = False,
    ) -> None:  # fmt: skip
        self.priced_schema = priced_schema
        self.bounds = bounds
        self._max_bytes = max_bytes
        self._used_bytes = 0
        self._documents = OrderedDict[str, Document]()
        self._persisted = dict(persisted or {})
        self._only_persisted = only_persisted
        self.hits = 0
        self.misses = 0

    def __repr__(self) -> str:
        return (
            f"<DocumentCache {len(self._documents)} kept, {self._used_bytes} of {self._max_bytes} bytes, "
            f"{self.hits} hits>"
        )

    @property
    def used_bytes(self) -> int:
        return self._used_bytes

    def resolve_text(self, operation: OperationRequest) -> str:
        """Return the text of an operation, looked up by its hash if it has no text.

        Raise GraphQLRefusedError if the document is unknown or not allowed, or if its hash and text do not match.
        """
        if operation.text is None:
            if operation.hash is None:
                raise GraphQLRefusedError(ErrorCode.BAD_REQUEST, "query is missing")
            known = self._persisted.get(operation.hash)
            if known is None and not self._only_persisted and operation.hash in self._documents:
                known = self._documents[operation.hash].text
            if known is None:
                raise GraphQLRefusedError(
                    ErrorCode.PERSISTED_NOT_FOUND, "no document of this hash is known here"
                )
            return known
        if operation.hash is not None and document_hash(operation.text) != operation.hash:
            raise GraphQLRefusedError(
                ErrorCode.PERSISTED_HASH_MISMATCH, "the text is not the one of the hash"
            )
        if self._only_persisted and document_hash(operation.text) not in self._persisted:
            raise GraphQLRefusedError(ErrorCode.PERSISTED_ONLY, "only persisted documents are taken here")
        return operation.text

    def find(self, text: str) -> Document | None:
        """Return a document from the cache and mark it as recently used, or return None."""
        found = self._documents.get(key := document_hash(text))
        if found is not None:
            self._documents.move_to_end(key)
            self.hits += 1
        return found

    def read(self, text: str) -> Generator[None, None, Document]:
        """Return a document from the cache, or scan, parse and validate it, yielding after each step.

        Raise GraphQLRefusedError if the document is invalid or exceeds a bound.
        """
        if (found := self.find(text)) is not None:
            return found
        self.misses += 1
        tokens = count_tokens(text, self.bounds)
        yield
        try:
            tree = parse(text, max_tokens=self.bounds.tokens)
        except (GraphQLSyntaxError, RecursionError) as error:
            raise GraphQLRefusedError(ErrorCode.PARSE_FAILED, _error_text(error)) from None
        yield
        _check_repeated_keys(tree, self.bounds)
        yield from validate(self.priced_schema, tree, tokens)
        document = _document(text, tree)
        self._store(document)
        return document

    def _store(self, document: Document) -> None:
        if document.size_bytes > self._max_bytes:
            return
        self._documents[document.hash] = document
        self._used_bytes += document.size_bytes
        while self._used_bytes > self._max_bytes:
            _, evicted = self._documents.popitem(last=False)
            self._used_bytes -= evicted.size_bytes


def _document(text: str, tree: DocumentNode) -> Document:
    operations = dict[str, OperationDefinitionNode]()
    fragments = dict[str, FragmentDefinitionNode]()
    for node in tree.definitions:
        if isinstance(node, OperationDefinitionNode):
            operations[node.name.value if node.name else ""] = node
        elif isinstance(node, FragmentDefinitionNode):
            fragments[node.name.value] = node
    return Document(
        document_hash(text), text, operations, fragments, len(text.encode()) * PARSED_BYTES_PER_TEXT_BYTE
    )


def _error_text(error: BaseException) -> str:
    return error.message if isinstance(error, GraphQLError) else "nested too deeply"


def _check_repeated_keys(tree: DocumentNode, bounds: Bounds) -> None:
    """Reject selection sets that repeat a response key too often.

    One validation rule compares all pairs of fields with the same response key, so its cost is quadratic.
    """
    for node in tree.definitions:
        stack: list[Any] = [node]
        while stack:
            selection = getattr(stack.pop(), "selection_set", None)
            if selection is None:
                continue
            keys = dict[str, int]()
            for each in selection.selections:
                stack.append(each)
                name = getattr(each, "alias", None) or getattr(each, "name", None)
                if name is not None:
                    keys[name.value] = keys.get(name.value, 0) + 1
            if max(keys.values(), default=0) > bounds.roots:
                raise GraphQLRefusedError(
                    ErrorCode.TOO_COMPLEX, f"one field more than {bounds.roots} times in one place"
                )


def validate(priced_schema: PricedSchema, tree: DocumentNode, tokens: int) -> Generator[None, None, None]:
    """Apply the specification's validation rules, a few per traversal, yielding after each traversal.

    A traversal takes time proportional to tokens times rules. A short document is done in two or three traversals; a
    document at the bound on tokens takes one per rule, so that no single step blocks the event loop for long. Raises
    GraphQLRefusedError.
    """
    info = TypeInfo(priced_schema.schema)
    errors = list[GraphQLError]()
    context = ValidationContext(priced_schema.schema, tree, info, errors.append)
    rules_per_step = max(1, MAX_TOKEN_RULES_PER_STEP // max(1, tokens))
    for first in range(0, len(specified_rules), rules_per_step):
        rules: list[ASTValidationRule] = [
            rule(context) for rule in specified_rules[first : first + rules_per_step]
        ]
        try:
            visit(tree, TypeInfoVisitor(info, ParallelVisitor(rules)))
        except RecursionError:
            raise GraphQLRefusedError(ErrorCode.TOO_COMPLEX, "nested too deeply") from None
        if errors:
            messages = "; ".join(error.message for error in errors[:MAX_REPORTED_ERRORS])
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, messages)
        yield


def select_operation(document: Document, name: str | None) -> OperationDefinitionNode:
    """Return the operation that a request selects (GraphQL specification, 6.1); the others cost nothing.

    Raise GraphQLRefusedError if there is no such operation or the choice is ambiguous.
    """
    if not document.operations:
        raise GraphQLRefusedError(ErrorCode.OPERATION_UNKNOWN, "the document holds no operation")
    if name is None:
        if len(document.operations) > 1:
            raise GraphQLRefusedError(
                ErrorCode.OPERATION_UNKNOWN, "operationName is needed: there are several operations"
            )
        return next(iter(document.operations.values()))
    if name not in document.operations or not name:
        raise GraphQLRefusedError(ErrorCode.OPERATION_UNKNOWN, f"no operation {name[:60]!r} in the document")
    return document.operations[name]


def price_operation(
    documents: DocumentCache, document: Document, operation: OperationRequest, counters: ComplexityCounters,
    introspection: bool = True, explain: bool = False,
) -> PricedRequest:  # fmt: skip
    """Return the price and effect of one operation with its variables. Raise GraphQLRefusedError."""
    node = select_operation(document, operation.operation_name)
    priced_schema = documents.priced_schema
    values = get_variable_values(
        priced_schema.schema, node.variable_definitions or (), dict(operation.variables or {})
    )
    if not isinstance(values, VariableValues):
        raise GraphQLRefusedError(
            ErrorCode.VARIABLES_WRONG, "; ".join(e.message for e in values[:MAX_REPORTED_ERRORS])
        )
    price = Pricer(
        priced_schema, document.fragments, values, counters, introspection, explain
    ).price_operation(node)
    if node.operation is not OperationType.MUTATION:
        return PricedRequest(price, Effect.QUERY)
    keys = list(mutation_keys(priced_schema, node, document.fragments, values, counters))
    if keys and all(key is not None for key in keys):
        return PricedRequest(price, Effect.KEYED, "/".join(map(str, keys)))
    return PricedRequest(price, Effect.MUTATION)


def price_request(
    documents: DocumentCache,
    operations: list[OperationRequest],
    introspection: bool = True,
    explain: bool = False,
) -> Generator[None, None, PricedRequest]:
    """Price the operations of a request, yielding between steps; the price of a batch is the sum.

    One mutation among several operations makes the whole batch unsafe, even if it is keyed, because servers
    deduplicate single operations and not batches. Raise GraphQLRefusedError.
    """
    if len(operations) > documents.bounds.batch:
        raise GraphQLRefusedError(
            ErrorCode.TOO_COMPLEX, f"more than {documents.bounds.batch} operations in a batch"
        )
    counters = ComplexityCounters(documents.bounds)
    priced_operations = list[PricedRequest]()
    for operation in operations:
        document = yield from documents.read(documents.resolve_text(operation))
        priced_operations.append(
            price_operation(documents, document, operation, counters, introspection, explain)
        )
        yield
    price = sum((each.price for each in priced_operations), Price(0.0, 0.0))
    effects = {each.effect for each in priced_operations}
    if effects == {Effect.QUERY}:
        return PricedRequest(price, Effect.QUERY)
    if len(priced_operations) == 1:
        return PricedRequest(price, priced_operations[0].effect, priced_operations[0].key)
    return PricedRequest(price, Effect.MUTATION)
