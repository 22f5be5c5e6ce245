"""Shares of bounds from queries and what they truly cost: what the expected price is made of. No I/O.

The model is linear: a query's true cost is the sum over its fields of (its part of the bound) x (the field's share).
Shares are fitted by least squares within 0 and 1, each query weighed by 1 / (its cost + 1 point), so that the error is
one in percent; their intervals come from a bootstrap over the queries with a fixed seed (Efron 1979, percentiles).
A field that always comes together with another cannot be told from it: its interval says so by being wide.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy.optimize import lsq_linear

from cypresspulley.graphql.price import Price

ROUNDS = 100
LOW = 5.0
HIGH = 95.0
FEWEST = 10  # queries


class LearnError(ValueError):
    """What cannot be learned from; the text says why."""


@dataclass(frozen=True, slots=True)
class Learned:
    """One field: its share of its bound, an interval of 90 %, and in how many queries it was."""

    place: str
    share: float
    low: float
    high: float
    queries: int


@dataclass(frozen=True, slots=True)
class Fit:
    """``mean_error``, ``mean_before``: the mean of |expected - true| / true, with what was learned and before."""

    fields: tuple[Learned, ...]
    queries: int
    mean_error: float
    mean_before: float

    def shares(self) -> dict[str, dict[str, float]]:
        """For the file that ``graphql.learned`` names."""
        return {f.place: {"share": round(f.share, 4)} for f in self.fields}


def learn(samples: Sequence[tuple[Price, float]], seed: int = 1) -> Fit:
    """Fit shares to (price with its rows, true points). Raises LearnError with too few, or none that cost anything."""
    samples = [(price, true) for price, true in samples if true >= 0 and price.rows]
    if len(samples) < FEWEST:
        raise LearnError(f"{len(samples)} queries with a true cost; expected at least {FEWEST}")
    places = sorted(
        {row.place for price, _ in samples for row in price.rows if row.bound > 0 and "." in row.place}
    )
    if not places:
        raise LearnError("no field of these queries costs anything by the schema")
    at = {place: n for n, place in enumerate(places)}
    parts = np.zeros((len(samples), len(places)))
    fixed = np.zeros(len(samples))
    for n, (price, _) in enumerate(samples):
        for row in price.rows:
            if row.place in at:
                parts[n, at[row.place]] += row.bound
            else:
                fixed[n] += row.bound  # an operation's own points, introspection: not a field's
    true = np.array([cost for _, cost in samples])
    weight = 1.0 / (true + 1.0)
    best = _solve(parts, true - fixed, weight)
    rng = np.random.default_rng(seed)
    rounds = np.empty((ROUNDS, len(places)))
    for n in range(ROUNDS):
        drawn = rng.integers(0, len(samples), len(samples))
        rounds[n] = _solve(parts[drawn], (true - fixed)[drawn], weight[drawn])
    low, high = np.percentile(rounds, [LOW, HIGH], axis=0)
    seen = (parts > 0).sum(axis=0)
    fields = tuple(
        Learned(place, float(best[n]), float(low[n]), float(high[n]), int(seen[n]))
        for n, place in enumerate(places)
    )
    before = np.array([price.expected for price, _ in samples])
    return Fit(fields, len(samples), _error(parts @ best + fixed, true), _error(before, true))


def _solve(parts: np.ndarray, true: np.ndarray, weight: np.ndarray) -> np.ndarray:
    found: np.ndarray = lsq_linear(parts * weight[:, None], true * weight, bounds=(0.0, 1.0)).x
    return found


def _error(expected: np.ndarray, true: np.ndarray) -> float:
    return float(np.mean(np.abs(expected - true) / np.maximum(true, 1.0)))
