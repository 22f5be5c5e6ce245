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

BOOTSTRAP_ROUNDS = 100
LOW_PERCENTILE = 5.0
HIGH_PERCENTILE = 95.0
MIN_QUERIES = 10  # queries


class LearnError(ValueError):
    """What cannot be learned from; the text says why."""


@dataclass(frozen=True, slots=True)
class LearnedShare:
    """One field: its share of its bound, an interval of 90 %, and in how many queries it was."""

    place: str
    share: float
    low: float
    high: float
    queries: int


@dataclass(frozen=True, slots=True)
class Fit:
    """``mean_error``, ``mean_error_before``: the mean of |expected - true| / true, with what was learned and before."""

    fields: tuple[LearnedShare, ...]
    queries: int
    mean_error: float
    mean_error_before: float

    def shares(self) -> dict[str, dict[str, float]]:
        """For the file that ``graphql.learned`` names."""
        return {f.place: {"share": round(f.share, 4)} for f in self.fields}


def learn_shares(samples: Sequence[tuple[Price, float]], seed: int = 1) -> Fit:
    """Fit shares to (price with its rows, true points). Raises LearnError with too few, or none that cost anything."""
    samples = [(price, actual) for price, actual in samples if actual >= 0 and price.rows]
    if len(samples) < MIN_QUERIES:
        raise LearnError(f"{len(samples)} queries with a true cost; expected at least {MIN_QUERIES}")
    places = sorted(
        {row.place for price, _ in samples for row in price.rows if row.bound > 0 and "." in row.place}
    )
    if not places:
        raise LearnError("no field of these queries costs anything by the schema")
    columns = {place: n for n, place in enumerate(places)}
    bounds = np.zeros((len(samples), len(places)))
    fixed = np.zeros(len(samples))
    for n, (price, _) in enumerate(samples):
        for row in price.rows:
            if row.place in columns:
                bounds[n, columns[row.place]] += row.bound
            else:
                fixed[n] += row.bound  # an operation's own points, introspection: not a field's
    actual = np.array([cost for _, cost in samples])
    weights = 1.0 / (actual + 1.0)
    shares_fitted = _fit_shares(bounds, actual - fixed, weights)
    rng = np.random.default_rng(seed)
    resampled = np.empty((BOOTSTRAP_ROUNDS, len(places)))
    for n in range(BOOTSTRAP_ROUNDS):
        rows_drawn = rng.integers(0, len(samples), len(samples))
        resampled[n] = _fit_shares(bounds[rows_drawn], (actual - fixed)[rows_drawn], weights[rows_drawn])
    low, high = np.percentile(resampled, [LOW_PERCENTILE, HIGH_PERCENTILE], axis=0)
    query_counts = (bounds > 0).sum(axis=0)
    fields = tuple(
        LearnedShare(place, float(shares_fitted[n]), float(low[n]), float(high[n]), int(query_counts[n]))
        for n, place in enumerate(places)
    )
    expected_before = np.array([price.expected for price, _ in samples])
    return Fit(
        fields,
        len(samples),
        _mean_relative_error(bounds @ shares_fitted + fixed, actual),
        _mean_relative_error(expected_before, actual),
    )


def _fit_shares(bounds: np.ndarray, actual: np.ndarray, weights: np.ndarray) -> np.ndarray:
    found: np.ndarray = lsq_linear(bounds * weights[:, None], actual * weights, bounds=(0.0, 1.0)).x
    return found


def _mean_relative_error(expected: np.ndarray, actual: np.ndarray) -> float:
    return float(np.mean(np.abs(expected - actual) / np.maximum(actual, 1.0)))
