"""Plan books: immutable, equal for the same changes in any order, with the version in force at each instant."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cypresspulley.plans.book import (
    Assignment,
    Book,
    BookError,
    Change,
    Stamp,
    Terms,
    Version,
    Withdrawal,
    as_json,
    check_new_change,
    parse_change,
)  # fmt: skip

SMALL = Terms(1.0, 4.0, 2.0, 8.0)
LARGE = Terms(3.0, 12.0, 5.0, 24.0)


def book_of(*changes: Change) -> Book:
    book = Book("vadodara")
    for change in changes:
        book = book.with_change(change)
    return book


def changes(min_size: int = 0) -> st.SearchStrategy[list[Change]]:
    names, instants = st.sampled_from("abc"), st.integers(0, 50)
    version = st.tuples(st.just("v"), names, instants, st.sampled_from((SMALL, LARGE)))
    assignment = st.tuples(st.just("a"), names, instants, names)

    withdrawal = st.tuples(st.just("w"), names, instants, st.integers(1, 12))

    def add_stamps(drawn: list[tuple[Any, ...]]) -> list[Change]:
        changes_made = list[Change]()
        for seq, (kind, name, at, content) in enumerate(drawn, 1):
            stamp = Stamp(1 + seq // 5, seq)
            if kind == "w":
                target = next((c.stamp for c in changes_made if c.stamp.seq == content), None)
                changes_made.append(Withdrawal(target or stamp, at, stamp))
            else:
                changes_made.append(
                    Version(name, at, stamp, content) if kind == "v" else Assignment(name, at, stamp, content)
                )
        return changes_made

    return st.lists(st.one_of(version, assignment, withdrawal), min_size=min_size, max_size=12).map(
        add_stamps
    )


@given(changes(), st.randoms(use_true_random=False))
def test_the_same_changes_in_any_order_and_number_give_the_same_book(
    changes_made: list[Change], rng: Any
) -> None:
    shuffled = changes_made + [change for change in changes_made if rng.random() < 0.3]
    rng.shuffle(shuffled)
    first, second = book_of(*changes_made), book_of(*shuffled)
    assert first == second and first.digest() == second.digest() and first.last_stamp == second.last_stamp
    for at in range(0, 52, 3):
        for name in "abc":
            assert first.binding_version(name, at, "a") == second.binding_version(name, at, "a")


@given(changes(1), st.integers(0, 51))
def test_what_binds_is_the_last_whose_instant_has_come(changes_made: list[Change], at: int) -> None:
    book = book_of(*changes_made)
    for name in "abc":
        withdrawn = {c.target for c in changes_made if isinstance(c, Withdrawal)}
        assignments = [
            c
            for c in changes_made
            if isinstance(c, Assignment) and c.account == name and c.stamp not in withdrawn
        ]
        due = [c for c in assignments if c.effective <= at]
        found = book.assignment_at(name, at)
        assert found == max(due, key=lambda c: (c.effective, c.stamp), default=None)


@given(changes())
def test_a_change_survives_json(changes_made: list[Change]) -> None:
    for change in changes_made:
        assert parse_change(json.loads(json.dumps(as_json(change))), "x") == change


def test_a_version_that_was_kept_is_untouched_by_what_comes_after() -> None:
    book = book_of(Version("p", 0, Stamp(1, 1), LARGE), Assignment("hotel", 0, Stamp(1, 2), "p"))
    admitted = book.binding_version("hotel", 5)
    after = book.with_change(Version("p", 6, Stamp(1, 3), SMALL))
    assert admitted is not None and admitted.terms is LARGE
    found = after.binding_version("hotel", 6)
    assert found is not None and found.terms is SMALL and book.binding_version("hotel", 6) is admitted


def test_up_down_up_within_a_second_heard_in_other_orders_ends_alike() -> None:
    base = (Version("s", 0, Stamp(1, 1), SMALL), Version("l", 0, Stamp(1, 2), LARGE))
    moves = [Assignment("hotel", 1000 + 300 * n, Stamp(1, 3 + n), "lsl"[n]) for n in range(3)]
    first, second = book_of(*base, *moves), book_of(*moves[::-1], *base[::-1])
    assert first == second
    bound = [
        v.plan for at in (1000, 1300, 1600) if (v := first.binding_version("hotel", at, "s")) is not None
    ]
    assert bound == ["l", "s", "l"]


def test_one_stamp_with_two_contents_is_refused() -> None:
    book = book_of(Version("p", 0, Stamp(1, 1), LARGE))
    with pytest.raises(BookError, match=r"stamp 1\.1"):
        book.with_change(Version("p", 0, Stamp(1, 1), SMALL))


BOOK = book_of(Version("p", 0, Stamp(1, 1), LARGE), Assignment("hotel", 100, Stamp(1, 2), "p"))


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (Assignment("hotel", 200, Stamp(1, 3), "nope"), "plan: 'nope'"),
        (Assignment("hotel", 40, Stamp(1, 3), "p"), "effective: expected an instant from 50"),
        (Assignment("hotel", 100, Stamp(1, 3), "p"), "effective: 100 is taken"),
        (Assignment("hotel", 200, Stamp(1, 2), "p"), r"stamp: expected one above 1\.2"),
        (Withdrawal(Stamp(1, 1), 60, Stamp(1, 3)), "target: expected an assignment to come"),
        (Withdrawal(Stamp(9, 9), 60, Stamp(1, 3)), "target: expected an assignment to come"),
        (Version("p", 200, Stamp(1, 3), Terms(3, 12, 2, 24)), "ceiling: expected at least the quota"),
        (Version("p", 200, Stamp(1, 3), Terms(0, 12)), "rate: expected a number above 0"),
        (Version("p", 200, Stamp(1, 3), Terms(float("nan"), 12)), "rate: expected"),
        (Version("p", 200, Stamp(1, 3), Terms(1, 12, 5, 0)), "ceiling_rate, ceiling_burst"),
    ],
)
def test_what_a_writer_must_not_take(change: Change, said: str) -> None:
    with pytest.raises(BookError, match=said):
        check_new_change(BOOK, change, 50)


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ([], "x.kind"),
        ({"kind": "version"}, "x.stamp"),
        ({"kind": "version", "stamp": [1, True]}, "x.stamp"),
        ({"kind": "version", "stamp": [1, 1]}, "x.effective"),
        ({"kind": "withdrawal", "stamp": [1, 1], "effective": 1, "target": 3}, "x.target"),
        ({"kind": "version", "stamp": [1, 1], "effective": 1, "plan": ""}, "x.plan"),
        (
            {"kind": "version", "stamp": [1, 1], "effective": 1, "plan": "p", "terms": {"rate": 1}},
            "x.terms.burst",
        ),
        (
            {
                "kind": "version",
                "stamp": [1, 1],
                "effective": 1,
                "plan": "p",
                "terms": {"rate": 1, "burst": 2, "q": 1},
            },
            "x.terms.q",
        ),
        ({"kind": "assignment", "stamp": [1, 1], "effective": 1, "plan": "p", "account": "a\n"}, "x.account"),
    ],
)
def test_bad_changes_are_named_by_key_and_expectation(change: Any, said: str) -> None:
    with pytest.raises(BookError, match=said.replace(".", r"\.")):
        parse_change(change, "x")


KEYS = st.sampled_from(("kind", "stamp", "plan", "terms", "effective", "account"))
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
ANY_JSON = st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner))


@given(ANY_JSON)
def test_whatever_comes_is_a_change_or_a_named_error(raw: Any) -> None:
    try:
        parse_change(raw, "line 3")
    except BookError as error:
        assert str(error).startswith("line 3")
