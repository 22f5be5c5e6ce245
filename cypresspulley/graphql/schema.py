"""A schema with prices: SDL in, tables of weights and list sizes out; free of I/O.

The directives follow the public drafts for cost directives: ``@cost(weight)`` on fields, types, arguments, input
fields and enums; ``@listSize`` on fields that give lists. ``@keyed(by)`` is this program's own: it marks a mutation
field whose repeats the servers drop by the value of an argument.
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
    """A schema that cannot be priced; the text names file, place and what was expected."""


@dataclass(frozen=True, slots=True)
class ListSize:
    """How long a field's list is. ``assumed`` is its most where no slicing argument tells (None: not said)."""

    assumed_size: int | None = None
    slicing_arguments: tuple[str, ...] = ()
    sized_fields: tuple[str, ...] = ()
    require_one_slicing_argument: bool = False


@dataclass(frozen=True, slots=True)
class FieldPrice:
    """``weight``: points for each object or value that the field gives; ``arguments``: points for each named one.

    ``share``: of its bound, what it comes to in the mean; learned, 1 where it is not known.
    """

    weight: float
    arguments: Mapping[str, float] = field(default_factory=dict)
    list_size: ListSize | None = None
    keyed_by: str | None = None
    is_list: bool = False
    share: float = 1.0


@dataclass(frozen=True)
class PricedSchema:
    """Prices by ``Type.field``. ``longest`` bounds a list that nothing else bounds."""

    schema: GraphQLSchema
    fields: Mapping[str, FieldPrice]
    longest_list: int = 100
    mutation_points: float = 10.0  # points of a mutation's operation beside its fields
    introspection_points: float = 1.0  # points of each introspection field at the root

    def field_price(self, parent: str, name: str) -> FieldPrice:
        return self.fields[f"{parent}.{name}"]


def read_schema(
    text: str,
    source: str = "schema",
    longest_list: int = 100,
    mutation_points: float = 10.0,
    learned: Mapping[str, Mapping[str, float]] | None = None,
) -> PricedSchema:
    """A priced schema from SDL. ``learned`` gives ``share`` by ``Type.field`` (of ``graphql-learn``).

    Raises SchemaError.
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
            raise SchemaError(f"{source}: learned {place!r} is no field of the schema; expected Type.field")
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
    """The directives of the drafts are known without being defined in the file; one defined there stands."""
    defined = {d.name.value for d in document.definitions if isinstance(d, DirectiveDefinitionNode)}
    added = [
        d
        for d in parse(COST_DIRECTIVES).definitions
        if isinstance(d, DirectiveDefinitionNode) and d.name.value not in defined
    ]
    return DocumentNode(definitions=(*document.definitions, *added))


def _directive(node: Any, name: str) -> dict[str, Any] | None:
    """The arguments of a directive on a definition; None where it has none."""
    directives: tuple[ConstDirectiveNode, ...] = getattr(node, "directives", None) or ()
    for each in directives:
        if each.name.value == name:
            return {a.name.value: value_from_ast_untyped(a.value) for a in each.arguments or ()}
    return None


def _weight(source: str, place: str, node: Any) -> float | None:
    definition = _directive(node, "cost")
    if definition is None:
        return None
    try:
        weight = float(definition.get("weight", ""))
    except (TypeError, ValueError):
        weight = math.nan
    if not 0 <= weight <= MAX_WEIGHT:
        raise SchemaError(
            f"{source}: {place}: @cost(weight: {definition.get('weight')!r}); expected a number from 0 to 1e6"
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
    by = None if keyed is None else str(keyed.get("by"))
    if by is not None and by not in definition.args:
        raise SchemaError(
            f"{source}: {place}: @keyed(by: {by!r}) names no argument; expected one of {_names(definition.args)}"
        )
    return FieldPrice(weight, arguments, size, by, _is_list(definition.type))


def _is_list(kind: GraphQLOutputType) -> bool:
    while isinstance(kind, GraphQLNonNull):
        kind = kind.of_type
    return isinstance(kind, GraphQLList)


def _list_size(source: str, place: str, definition: GraphQLField) -> ListSize | None:
    arguments_given = _directive(definition.ast_node, "listSize")
    if arguments_given is None:
        return None
    slicing, sized = (
        tuple(arguments_given.get("slicingArguments") or ()),
        tuple(arguments_given.get("sizedFields") or ()),
    )
    for argument in slicing:
        if argument.split(".")[0] not in definition.args:
            raise SchemaError(
                f"{source}: {place}: slicing argument {argument!r} is none of its own; "
                f"expected {_names(definition.args)}"
            )
    assumed = arguments_given.get("assumedSize")
    if assumed is not None and not 0 <= int(assumed) <= MAX_WEIGHT:
        raise SchemaError(f"{source}: {place}: assumedSize {assumed}; expected 0 to 1e6")
    inner = get_named_type(definition.type)
    known = inner.fields if isinstance(inner, GraphQLObjectType | GraphQLInterfaceType) else {}
    for each in sized:
        if each not in known:
            raise SchemaError(
                f"{source}: {place}: sized field {each!r} is none of {inner}'s; expected {_names(known)}"
            )
    if not sized and not _is_list(definition.type):
        raise SchemaError(f"{source}: {place}: @listSize on what is no list; expected sizedFields, or a list")
    # The draft's default is true, but only where there are slicing arguments to require.
    require = bool(arguments_given.get("requireOneSlicingArgument", True)) and bool(slicing)
    return ListSize(None if assumed is None else int(assumed), slicing, sized, require)


def _names(known: Mapping[str, Any]) -> str:
    return ", ".join(sorted(known)) or "none"


Composite = GraphQLObjectType | GraphQLInterfaceType | GraphQLUnionType
