"""Reads a schema in SDL and extracts weights and list sizes. Does no I/O.

The directives follow the public drafts for cost directives: ``@cost(weight)`` on fields, types, arguments, input
fields and enums, and ``@listSize`` on fields that return lists. ``@keyed(by)`` is specific to this project: it marks a
mutation field that the servers deduplicate by the value of an argument.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from graphql import (
    GraphQLError,
    GraphQLField,
    GraphQLInterfaceType,
    GraphQLList,
    GraphQLNonNull,
    GraphQLObjectType,
    GraphQLOutputType,
    GraphQLSchema,
    GraphQLUnionType,
    Source,
    build_ast_schema,
    get_named_type,
    is_composite_type,
    parse,
)
from graphql.language import ConstDirectiveNode, DirectiveDefinitionNode, DocumentNode
from graphql.utilities import value_from_ast_untyped

COST_DIRECTIVES = """
directive @cost(weight: String!) on ARGUMENT_DEFINITION | ENUM | FIELD_DEFINITION | INPUT_FIELD_DEFINITION | OBJECT | SCALAR | INTERFACE | UNION
directive @listSize(assumedSize: Int, slicingArguments: [String!], sizedFields: [String!], requireOneSlicingArgument: Boolean = true) on FIELD_DEFINITION
directive @keyed(by: String!) on FIELD_DEFINITION
"""  # noqa: E501
MAX_WEIGHT = 1e6


class SchemaError(ValueError):
    """An invalid schema. The text names the file, the place and what was expected."""


@dataclass(frozen=True, slots=True)
class ListSize:
    """The size of a field's list. ``assumed_size`` is its maximum if no slicing argument is given; None: unknown."""

    assumed_size: int | None = None
    slicing_arguments: tuple[str, ...] = ()
    sized_fields: tuple[str, ...] = ()
    require_one_slicing_argument: bool = False


@dataclass(frozen=True, slots=True)
class FieldPrice:
    """The price of a field.

    ``weight`` is the points per object or value that the field returns, and ``arguments`` the points per argument by
    name. ``share`` is the learned mean cost as a share of the bound, from 0 to 1; 1 if it is unknown.
    """

    weight: float
    arguments: Mapping[str, float] = field(default_factory=dict)
    list_size: ListSize | None = None
    keyed_by: str | None = None
    is_list: bool = False
    share: float = 1.0


@dataclass(frozen=True)
class PricedSchema:
    """A schema with prices by ``Type.field``. ``longest_list`` is the size of lists that have no other bound."""

    schema: GraphQLSchema
    fields: Mapping[str, FieldPrice]
    longest_list: int = 100
    mutation_points: float = 10.0  # points of a mutation in addition to its fields
    introspection_points: float = 1.0  # points of each introspection field at the root

    def field_price(self, parent: str, name: str) -> FieldPrice:
        """Return the price of a field of the parent type. Raise KeyError if there is none."""
        return self.fields[f"{parent}.{name}"]


def read_schema(
    text: str,
    source: str = "schema",
    longest_list: int = 100,
    mutation_points: float = 10.0,
    learned: Mapping[str, Mapping[str, float]] | None = None,
) -> PricedSchema:
    """Read a priced schema from SDL. Raise SchemaError.

    ``learned`` gives the ``share`` by ``Type.field``, as written by ``graphql-learn``.
    """
    try:
        document = parse(Source(text, source))
        schema = build_ast_schema(_add_cost_directives(document))
    except GraphQLError as error:
        raise SchemaError(_located_message(source, error)) from None
    except TypeError as error:
        raise SchemaError(f"{source}: {error}") from None
    fields = dict[str, FieldPrice]()
    for name, kind in schema.type_map.items():
        if name.startswith("__") or not isinstance(kind, GraphQLObjectType | GraphQLInterfaceType):
            continue
        for key, each in kind.fields.items():
            fields[f"{name}.{key}"] = _field_price(source, name, key, each, kind.fields)
    for place, values in (learned or {}).items():
        if place not in fields:
            raise SchemaError(
                f"{source}: learned {place!r} is not a field of the schema; expected Type.field"
            )
        fields[place] = _with_share(source, place, fields[place], values)
    return PricedSchema(schema, fields, longest_list, mutation_points)


def _with_share(source: str, place: str, price: FieldPrice, values: Mapping[str, float]) -> FieldPrice:
    share = values.get("share")
    if isinstance(share, bool) or not isinstance(share, int | float) or not 0 <= share <= 1:
        raise SchemaError(f"{source}: learned {place}.share: {share!r}; expected a number from 0 to 1")
    return FieldPrice(
        price.weight, price.arguments, price.list_size, price.keyed_by, price.is_list, float(share)
    )


def _located_message(source: str, error: GraphQLError) -> str:
    at = f":{error.locations[0].line}:{error.locations[0].column}" if error.locations else ""
    return f"{source}{at}: {error.message}"


def _add_cost_directives(document: DocumentNode) -> DocumentNode:
    """Add the definitions of the cost directives that the file does not define itself."""
    defined = {d.name.value for d in document.definitions if isinstance(d, DirectiveDefinitionNode)}
    added = [
        d
        for d in parse(COST_DIRECTIVES).definitions
        if isinstance(d, DirectiveDefinitionNode) and d.name.value not in defined
    ]
    return DocumentNode(definitions=(*document.definitions, *added))


def _directive(node: Any, name: str) -> dict[str, Any] | None:
    """Return the arguments of a directive on a definition, or None if it has no such directive."""
    directives: tuple[ConstDirectiveNode, ...] = getattr(node, "directives", None) or ()
    for each in directives:
        if each.name.value == name:
            return {a.name.value: value_from_ast_untyped(a.value) for a in each.arguments or ()}
    return None


def _weight(source: str, place: str, node: Any) -> float | None:
    directive = _directive(node, "cost")
    if directive is None:
        return None
    try:
        weight = float(directive.get("weight", ""))
    except (TypeError, ValueError):
        weight = math.nan
    if not 0 <= weight <= MAX_WEIGHT:
        raise SchemaError(
            f"{source}: {place}: @cost(weight: {directive.get('weight')!r}); expected a number from 0 to 1e6"
        )
    return weight


def _field_price(
    source: str, parent: str, name: str, definition: GraphQLField, siblings: Mapping[str, GraphQLField]
) -> FieldPrice:
    place, kind = f"{parent}.{name}", get_named_type(definition.type)
    weight = _weight(source, place, definition.ast_node)
    if weight is None:
        weight = _weight(source, str(kind), kind.ast_node)
    if weight is None:
        weight = 1.0 if is_composite_type(kind) else 0.0
    arguments = {
        key: points
        for key, argument in definition.args.items()
        if (points := _weight(source, f"{place}({key})", argument.ast_node)) is not None
    }
    size = _list_size(source, place, definition)
    keyed = _directive(definition.ast_node, "keyed")
    key_argument = None if keyed is None else str(keyed.get("by"))
    if key_argument is not None and key_argument not in definition.args:
        raise SchemaError(
            f"{source}: {place}: @keyed(by: {key_argument!r}) names no argument; "
            f"expected one of {_names(definition.args)}"
        )
    return FieldPrice(weight, arguments, size, key_argument, _is_list(definition.type))


def _is_list(kind: GraphQLOutputType) -> bool:
    while isinstance(kind, GraphQLNonNull):
        kind = kind.of_type
    return isinstance(kind, GraphQLList)


def _list_size(source: str, place: str, definition: GraphQLField) -> ListSize | None:
    directive = _directive(definition.ast_node, "listSize")
    if directive is None:
        return None
    slicing, sized = tuple(directive.get("slicingArguments") or ()), tuple(directive.get("sizedFields") or ())
    for argument in slicing:
        if argument.split(".")[0] not in definition.args:
            raise SchemaError(
                f"{source}: {place}: slicing argument {argument!r} is not one of its arguments; "
                f"expected {_names(definition.args)}"
            )
    assumed = directive.get("assumedSize")
    if assumed is not None and not 0 <= int(assumed) <= MAX_WEIGHT:
        raise SchemaError(f"{source}: {place}: assumedSize {assumed}; expected 0 to 1e6")
    inner = get_named_type(definition.type)
    known = inner.fields if isinstance(inner, GraphQLObjectType | GraphQLInterfaceType) else {}
    for each in sized:
        if each not in known:
            raise SchemaError(
                f"{source}: {place}: sized field {each!r} is not a field of {inner}; expected {_names(known)}"
            )
    if not sized and not _is_list(definition.type):
        raise SchemaError(f"{source}: {place}: @listSize on what is no list; expected sizedFields, or a list")
    # The draft's default is true, which has no meaning without slicing arguments.
    require = bool(directive.get("requireOneSlicingArgument", True)) and bool(slicing)
    return ListSize(None if assumed is None else int(assumed), slicing, sized, require)


def _names(known: Mapping[str, Any]) -> str:
    return ", ".join(sorted(known)) or "none"


Composite = GraphQLObjectType | GraphQLInterfaceType | GraphQLUnionType
