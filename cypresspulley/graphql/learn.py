"""Fits the share of its bound that each field costs on average, from queries and their actual costs.

The expected price is computed from these shares. The model is linear: a query's actual cost is the sum over its fields
of (the field's part of the bound) x (the field's share). Shares are fitted by least squares with bounds 0 and 1. Each
query has the weight 1 / (its cost + 1 point), so that the relative error is minimized. The intervals come from a
bootstrap over the queries with a fixed seed (Efron 1979, percentiles). Two fields that always occur together cannot be
distinguished, which shows as wide intervals. The module does no I/O.
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
MIN_QUERIES = 10


class LearnError(ValueError):
    """Samples to which no shares can be fitted; the text states the reason."""


@dataclass(frozen=True, slots=True)
class LearnedShare:
    """A field's share of its bound, the limits of its 90 % interval, and the number of queries with the field."""

    place: str
    share: float
    low: float
    high: float
    queries: int


@dataclass(frozen=True, slots=True)
class Fit:
    """The result of a fit.

    ``mean_error`` and ``mean_error_before`` are the means of |expected - actual| / actual with the fitted shares and
    with the prices before the fit.
    """

    fields: tuple[LearnedShare, ...]
    queries: int
    mean_error: float
    mean_error_before: float

    def shares(self) -> dict[str, dict[str, float]]:
        """Return the contents of the file that the option ``graphql.learned`` names."""
        return {f.place: {"share": round(f.share, 4)} for f in self.fields}


def learn_shares(samples: Sequence[tuple[Price, float]], seed: int = 1) -> Fit:
    """Fit shares to samples of (price with its rows, actual points).

    Raise LearnError if there are fewer than MIN_QUERIES samples or none of their fields costs anything.
    """
    samples = [(price, actual) for price, actual in samples if actual >= 0 and price.rows]
    if len(samples) < MIN_QUERIES:
        raise LearnError(f"{len(samples)} queries with a true cost; expected at least {MIN_QUERIES}")
    places = sorted(
        {row.place for price, _ in samples for row in price.rows if row.bound > 0 and "." in row.place}
    )
    if not places:
        raise LearnError("no field of these queries costs anything by the schema")
    columns = {place: n for n, place in enumerate(places)}
    field_bounds = np.zeros((len(samples), len(places)))
    fixed = np.zeros(len(samples))
    for n, (price, _) in enumerate(samples):
        for row in price.rows:
            if row.place in columns:
                field_bounds[n, columns[row.place]] += row.bound
            else:
                fixed[n] += (
                    row.bound
                )  # the points of a mutation itself and of introspection, which belong to no field
    actual = np.array([cost for _, cost in samples])
    weights = 1.0 / (actual + 1.0)
    shares_fitted = _fit_shares(field_bounds, actual - fixed, weights)
    rng = np.random.default_rng(seed)
    resampled = np.empty((BOOTSTRAP_ROUNDS, len(places)))
    for n in range(BOOTSTRAP_ROUNDS):
        rows_drawn = rng.integers(0, len(samples), len(samples))
        resampled[n] = _fit_shares(
            field_bounds[rows_drawn], (actual - fixed)[rows_drawn], weights[rows_drawn]
        )
    low, high = np.percentile(resampled, [LOW_PERCENTILE, HIGH_PERCENTILE], axis=0)
    query_counts = (field_bounds > 0).sum(axis=0)
    fields = tuple(
        LearnedShare(place, float(shares_fitted[n]), float(low[n]), float(high[n]), int(query_counts[n]))
        for n, place in enumerate(places)
    )
    expected_before = np.array([price.expected for price, _ in samples])
    return Fit(
        fields,
        len(samples),
        _mean_relative_error(field_bounds @ shares_fitted + fixed, actual),
        _mean_relative_error(expected_before, actual),
    )


def _fit_shares(field_bounds: np.ndarray, actual: np.ndarray, weights: np.ndarray) -> np.ndarray:
    found: np.ndarray = lsq_linear(field_bounds * weights[:, None], actual * weights, bounds=(0.0, 1.0)).x
    return found


def _mean_relative_error(expected: np.ndarray, actual: np.ndarray) -> float:
    return float(np.mean(np.abs(expected - actual) / np.maximum(actual, 1.0)))
