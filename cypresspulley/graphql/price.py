"""Prices a GraphQL operation before it is sent: computes an upper bound and an expected price. Does no I/O.

A selected field costs ``count x (weight + arguments + selected subfields)``, where the count is the number of parent
objects times the maximum length if the field is a list. The expected price is the field's own part of the bound times
its learned share (see ``graphql-learn``; 1 if unknown). Fields with the same response key are merged first, as in
execution (GraphQL specification, 6.3.2), so that a fragment that is spread twice is not charged twice; two aliases are
two fields. An interface or union costs as much as its most expensive type.

Soundness: the actual cost is at most the bound if the servers respect the list sizes of the schema and count one
``weight`` for each object that a field returns.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from graphql import (
    FieldNode,
    FragmentDefinitionNode,
    FragmentSpreadNode,
    GraphQLError,
    GraphQLInputObjectType,
    GraphQLInterfaceType,
    GraphQLList,
    GraphQLNonNull,
    GraphQLObjectType,
    GraphQLUnionType,
    InlineFragmentNode,
    OperationDefinitionNode,
    OperationType,
    SelectionSetNode,
    get_named_type,
)
from graphql.execution.values import VariableValues, get_argument_values, get_directive_values
from graphql.type import GraphQLIncludeDirective, GraphQLSkipDirective

from cypresspulley.graphql.errors import ErrorCode, GraphQLRefusedError
from cypresspulley.graphql.scan import Bounds
from cypresspulley.graphql.schema import Composite, FieldPrice, PricedSchema

MAX_POINTS = 1e9  # a price this high is always rejected, and floats below it are precise enough for units


@dataclass(frozen=True, slots=True)
class Row:
    """One field in the breakdown of a price. ``times`` is how often the field is evaluated at most."""

    path: str
    place: str  # Type.field
    times: float
    each: float  # points per evaluation, without subfields
    bound: float  # points of all evaluations, without subfields
    expected: float


@dataclass(frozen=True, slots=True)
class Price:
    """A price in points. ``bound`` is the maximum and ``expected`` the mean cost; 0 <= expected <= bound."""

    bound: float
    expected: float
    rows: tuple[Row, ...] = ()

    def __add__(self, other: Price) -> Price:
        return Price(
            min(MAX_POINTS, self.bound + other.bound),
            min(MAX_POINTS, self.expected + other.expected),
            self.rows + other.rows,
        )


@dataclass(slots=True)
class ComplexityCounters:
    """Counts the elements of a request during pricing. Raises GraphQLRefusedError when a bound is exceeded."""

    bounds: Bounds
    steps: int = 0
    aliases: int = 0
    roots: int = 0
    counted_aliases: set[int] = field(default_factory=set)  # ids of field nodes whose alias is counted

    def count_step(self) -> None:
        self.steps += 1
        _check_bound("fields once fragments are spread", self.steps, self.bounds.steps)

    def count_field(self, node: FieldNode, depth: int) -> None:
        self.count_step()
        _check_bound("levels of fields", depth, self.bounds.depth)
        if node.alias is not None and id(node) not in self.counted_aliases:
            self.counted_aliases.add(id(node))
            self.aliases += 1
            _check_bound("aliases", self.aliases, self.bounds.aliases)

    def count_root_fields(self, count: int) -> None:
        self.roots += count
        _check_bound("fields at the root", self.roots, self.bounds.roots)


def _check_bound(counted: str, count: int, limit: int) -> None:
    if count > limit:
        raise GraphQLRefusedError(ErrorCode.TOO_COMPLEX, f"more than {limit} {counted}")


GroupedFields = dict[str, list[FieldNode]]
BoundAndExpected = tuple[float, float]  # points: maximum, mean


class Pricer:
    """Prices one operation with its variables. All operations of a request share one ``counters``."""

    def __init__(
        self, priced: PricedSchema, fragments: Mapping[str, FragmentDefinitionNode], variables: VariableValues,
        counters: ComplexityCounters, introspection: bool = True, explain: bool = False,
    ) -> None:  # fmt: skip
        self._priced = priced
        self._fragments = fragments
        self._variables = variables
        self._counters = counters
        self._introspection = introspection
        self._explain = explain
        self._rows = list[Row]()

    def price_operation(self, node: OperationDefinitionNode) -> Price:
        """Return the price of an operation. Raise GraphQLRefusedError if it is invalid or exceeds a bound."""
        root = self._priced.schema.get_root_type(node.operation)
        if root is None:
            raise GraphQLRefusedError(
                ErrorCode.VALIDATION_FAILED, f"the schema has no {node.operation.value}"
            )
        if node.operation is OperationType.SUBSCRIPTION:
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, "subscriptions are not passed on")
        grouped = self._collect_fields(root, [node.selection_set])
        self._counters.count_root_fields(len(grouped))
        bound, expected = self._price_fields(root, grouped, 1.0, {}, "", 1)
        if node.operation is OperationType.MUTATION:
            bound, expected = bound + self._priced.mutation_points, expected + self._priced.mutation_points
            self._add_row(
                "mutation", "mutation", 1.0, self._priced.mutation_points, self._priced.mutation_points
            )
        return Price(min(MAX_POINTS, bound), min(MAX_POINTS, expected), tuple(self._rows))

    def _add_row(self, path: str, place: str, times: float, bound: float, expected: float) -> None:
        if self._explain:
            self._rows.append(Row(path, place, times, bound / times if times else 0.0, bound, expected))

    # Collecting the fields that a selection has for a type, by response key.

    def _collect_fields(self, kind: GraphQLObjectType, sets: list[SelectionSetNode]) -> GroupedFields:
        grouped, visited = GroupedFields(), set[str]()
        for selection_set in sets:
            self._collect_into(kind, selection_set, grouped, visited)
        return grouped

    def _collect_into(
        self,
        kind: GraphQLObjectType,
        selection_set: SelectionSetNode,
        grouped: GroupedFields,
        visited: set[str],
    ) -> None:
        for node in selection_set.selections:
            self._counters.count_step()
            if not self._included(node):
                continue
            if isinstance(node, FieldNode):
                grouped.setdefault(node.alias.value if node.alias else node.name.value, []).append(node)
            elif isinstance(node, InlineFragmentNode):
                if node.type_condition is None or self._applies(node.type_condition.name.value, kind):
                    self._collect_into(kind, node.selection_set, grouped, visited)
            elif isinstance(node, FragmentSpreadNode) and node.name.value not in visited:
                visited.add(node.name.value)  # also ends cycles of fragments
                found = self._fragments.get(node.name.value)
                if found is None:
                    raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"no fragment {node.name.value}")
                if self._applies(found.type_condition.name.value, kind):
                    self._collect_into(kind, found.selection_set, grouped, visited)

    def _applies(self, condition: str, kind: GraphQLObjectType) -> bool:
        known = self._priced.schema.type_map.get(condition)
        if known is kind:
            return True
        if isinstance(known, GraphQLInterfaceType | GraphQLUnionType):
            return self._priced.schema.is_sub_type(known, kind)
        if known is None:
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"no type {condition}")
        return False

    def _included(self, node: Any) -> bool:
        if not node.directives:
            return True
        try:
            skip = get_directive_values(GraphQLSkipDirective, node, self._variables)
            include = get_directive_values(GraphQLIncludeDirective, node, self._variables)
        except GraphQLError as error:
            raise GraphQLRefusedError(ErrorCode.VARIABLES_WRONG, error.message) from None
        return not (skip and skip["if"]) and not (include is not None and not include["if"])

    # Pricing.

    def _price_fields(
        self,
        kind: Composite,
        grouped: GroupedFields,
        times: float,
        child_sizes: Mapping[str, float],
        path: str,
        depth: int,
    ) -> BoundAndExpected:
        bound = expected = 0.0
        for key, nodes in grouped.items():
            most, mean = self._price_field(
                kind, nodes, times, child_sizes.get(nodes[0].name.value), f"{path}.{key}", depth
            )
            bound, expected = bound + most, expected + mean
        return bound, expected

    def _price_field(
        self,
        kind: Composite,
        nodes: list[FieldNode],
        times: float,
        given_size: float | None,
        path: str,
        depth: int,
    ) -> BoundAndExpected:
        node = nodes[0]
        self._counters.count_field(node, depth)
        name = node.name.value
        if any(other.name.value != name for other in nodes):
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"{path[1:]}: one key for two fields")
        if name.startswith("__"):
            return self._price_introspection(name, path)
        found = kind.fields.get(name) if isinstance(kind, GraphQLObjectType | GraphQLInterfaceType) else None
        if found is None:
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"{path[1:]}: {kind} has no field {name}")
        price = self._priced.field_price(str(kind), name)
        values = self._argument_values(kind, node, path)
        size = (
            given_size
            if given_size is not None and price.is_list
            else self._object_count(price, values, path)
        )
        count = min(MAX_POINTS, times * size)
        points = self._argument_points(price, found.args, values)
        selected = self._price_selection(
            get_named_type(found.type), nodes, count, self._child_list_sizes(price, values, path), path, depth
        )
        bound = count * price.weight + times * points
        self._add_row(path[1:], f"{kind}.{name}", count, bound, bound * price.share)
        return min(MAX_POINTS, bound + selected[0]), min(MAX_POINTS, bound * price.share + selected[1])

    def _price_introspection(self, name: str, path: str) -> BoundAndExpected:
        if name == "__typename":
            return 0.0, 0.0
        if not self._introspection:
            raise GraphQLRefusedError(
                ErrorCode.INTROSPECTION_OFF, f"{path[1:]}: introspection is not open here"
            )
        points = self._priced.introspection_points
        self._add_row(path[1:], name, 1.0, points, points)
        return points, points

    def _argument_values(self, kind: Composite, node: FieldNode, path: str) -> dict[str, Any]:
        assert isinstance(kind, GraphQLObjectType | GraphQLInterfaceType)
        found = kind.fields[node.name.value]
        for argument in node.arguments or ():
            if argument.name.value not in found.args:
                raise GraphQLRefusedError(
                    ErrorCode.VALIDATION_FAILED, f"{path[1:]}: no argument {argument.name.value}"
                )
        try:
            return get_argument_values(found, node, self._variables)
        except GraphQLError as error:
            raise GraphQLRefusedError(ErrorCode.VARIABLES_WRONG, f"{path[1:]}: {error.message}") from None

    def _price_selection(
        self,
        inner: Any,
        nodes: list[FieldNode],
        count: float,
        child_sizes: Mapping[str, float],
        path: str,
        depth: int,
    ) -> BoundAndExpected:
        sets = [node.selection_set for node in nodes if node.selection_set is not None]
        if isinstance(inner, GraphQLObjectType | GraphQLInterfaceType | GraphQLUnionType):
            if not sets:
                raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"{path[1:]}: needs fields of {inner}")
            return self._price_composite(inner, sets, count, child_sizes, path, depth + 1)
        if sets:
            raise GraphQLRefusedError(ErrorCode.VALIDATION_FAILED, f"{path[1:]}: {inner} has no fields")
        return 0.0, 0.0

    def _price_composite(
        self, inner: Composite, sets: list[SelectionSetNode], count: float, child_sizes: Mapping[str, float],
        path: str, depth: int,
    ) -> BoundAndExpected:  # fmt: skip
        """Price the most expensive possible type, since each object is of exactly one type."""
        if isinstance(inner, GraphQLObjectType):
            return self._price_fields(
                inner, self._collect_fields(inner, sets), count, child_sizes, path, depth
            )
        first_row, highest, best_rows = len(self._rows), (0.0, 0.0), list[Row]()
        for kind in self._priced.schema.get_possible_types(inner):
            cost = self._price_fields(
                kind, self._collect_fields(kind, sets), count, child_sizes, f"{path}<{kind}>", depth
            )
            rows = self._rows[first_row:]
            del self._rows[first_row:]
            if cost[0] >= highest[0]:
                best_rows = rows
            highest = max(highest[0], cost[0]), max(highest[1], cost[1])
        self._rows += best_rows
        return highest

    # List sizes and arguments.

    def _object_count(self, price: FieldPrice, values: Mapping[str, Any], path: str) -> float:
        return self._list_size(price, values, path) if price.is_list else 1.0

    def _child_list_sizes(self, price: FieldPrice, values: Mapping[str, Any], path: str) -> dict[str, float]:
        """Return the sizes that a field defines for list fields of its objects, such as a connection's edges."""
        if price.list_size is None or not price.list_size.sized_fields:
            return {}
        return dict.fromkeys(price.list_size.sized_fields, self._list_size(price, values, path))

    def _list_size(self, price: FieldPrice, values: Mapping[str, Any], path: str) -> float:
        """Return the maximum size of a list. Raise GraphQLRefusedError for invalid slicing arguments."""
        size = price.list_size
        if size is None:
            return float(self._priced.longest_list)
        given = [
            v for argument in size.slicing_arguments if (v := _nested_value(values, argument)) is not None
        ]
        numbers = [v for v in given if isinstance(v, int) and not isinstance(v, bool)]
        if len(numbers) != len(given) or any(n < 0 for n in numbers):
            raise GraphQLRefusedError(
                ErrorCode.VARIABLES_WRONG, f"{path[1:]}: a list size below 0, or no whole number"
            )
        if size.require_one_slicing_argument and len(numbers) != 1 and (numbers or size.assumed_size is None):
            raise GraphQLRefusedError(
                ErrorCode.VALIDATION_FAILED,
                f"{path[1:]}: exactly one of {', '.join(size.slicing_arguments)} is needed",
            )
        if numbers:
            return float(max(numbers))
        return float(self._priced.longest_list if size.assumed_size is None else size.assumed_size)

    def _argument_points(
        self, price: FieldPrice, known: Mapping[str, Any], values: Mapping[str, Any]
    ) -> float:
        """Return the points of the given arguments and of the input fields inside them."""
        points = sum(each for name, each in price.arguments.items() if values.get(name) is not None)
        return points + sum(_input_points(known[name].type, value) for name, value in values.items())


def _nested_value(values: Mapping[str, Any], path: str) -> Any:
    """Return a value by its path, since a slicing argument may be inside an input object: ``page.first``."""
    found: Any = values
    for part in path.split("."):
        found = found.get(part) if isinstance(found, Mapping) else None
    return found


def _input_points(kind: Any, value: Any) -> float:
    while isinstance(kind, GraphQLNonNull):
        kind = kind.of_type
    if value is None:
        return 0.0
    if isinstance(kind, GraphQLList):
        items = value if isinstance(value, list) else [value]
        return sum(_input_points(kind.of_type, item) for item in items)
    if not isinstance(kind, GraphQLInputObjectType) or not isinstance(value, Mapping):
        return 0.0
    return sum(
        _cost_weight(each.ast_node) + _input_points(each.type, value.get(name))
        for name, each in kind.fields.items()
        if value.get(name) is not None
    )


def _cost_weight(node: Any) -> float:
    for each in (node.directives or ()) if node is not None else ():
        if each.name.value == "cost":
            return float(each.arguments[0].value.value)
    return 0.0


def mutation_keys(
    priced: PricedSchema, node: OperationDefinitionNode, fragments: Mapping[str, FragmentDefinitionNode],
    variables: VariableValues, counters: ComplexityCounters,
) -> Iterator[object | None]:  # fmt: skip
    """Yield the key argument's value for each root field of a mutation, or None if the field is not keyed."""
    root = priced.schema.mutation_type
    assert root is not None
    pricer = Pricer(priced, fragments, variables, counters)
    for nodes in pricer._collect_fields(root, [node.selection_set]).values():
        if nodes[0].name.value == "__typename":
            continue
        key_argument = priced.field_price(str(root), nodes[0].name.value).keyed_by
        yield (
            None
            if key_argument is None
            else pricer._argument_values(root, nodes[0], "." + nodes[0].name.value).get(key_argument)
        )
