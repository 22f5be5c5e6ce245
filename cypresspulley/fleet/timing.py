"""Times of the failure detector, and the bounds that follow from them. Seconds, or probe periods where it says so.

Suspicion lasts by the log of the fleet's size and shorter with each further accuser (Dadgar, Phillips and Currey,
"Lifeguard", 2017, section IV-B); a change is sent on by each member so many times as the log of the size (Das, Gupta
and Motivala, "SWIM", 2002, section 4.1).
"""

from __future__ import annotations

import math

DIRECT_TIMEOUT_PERIODS = 0.4  # of a period: until others are asked to ping
PROBE_TIMEOUT_PERIODS = 0.95  # of a period: until a probe has failed
INDIRECT_PROBES = 3  # members asked for an indirect probe
MIN_SUSPICION_PERIODS = 10.0  # periods of the shortest suspicion at 8 members
MAX_SUSPICION_FACTOR = 1.5  # the longest suspicion, with no other accuser, over the shortest
SUSPICION_CONFIRMATIONS = 3  # others who suspect too, after which suspicion is at its shortest
REPORTED_DEATH_SHARE = (
    0.5  # of the shortest suspicion: one who is told of a death waits so long for the dead one's word
)
TRANSMISSIONS_PER_DECADE = 4.0  # times that a change is sent on, for each power of ten of the fleet's size
MAX_HEALTH_SCORE = 4  # of the local health multiplier, by one more than which time-outs are stretched
RECALL_PERIODS = 8  # periods between two words to a member held dead, or to a seed that is not in the view
DIGEST_CHECKS_PER_PERIOD = 2  # members a period that are asked for their digest, while it differs
DIGEST_CHECK_PERIODS = 16  # periods after a change in which they are
STALL_PERIODS = 0.25  # of a period: a timer that is so late tells of a process that stood still,
MIN_STALL_SECONDS = (
    0.1  # but never less than so many seconds: a busy loop is late by some tens of milliseconds now and then
)
FIRST_PROBE_PERIODS = (
    10  # periods in which at least one of many members probes a given one: all miss it with exp(-10)
)


def size_factor(members: int) -> float:
    """The factor by size: 1 at 8 members, 3 at 998."""
    return max(1.0, math.log10(members + 2))


def suspicion_periods(members: int, accusers: int) -> float:
    """Periods from a suspicion's beginning to death; ``accusers`` counts those beside the first."""
    least = MIN_SUSPICION_PERIODS * size_factor(members)
    wanted = min(SUSPICION_CONFIRMATIONS, members - 2)
    if wanted <= 0:  # nobody else could accuse
        return least
    share = min(1.0, math.log(accusers + 1) / math.log(wanted + 1))
    return least * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * share)


def reported_death_periods(members: int) -> float:
    """Periods that a death that another tells of is held as a suspicion."""
    return MIN_SUSPICION_PERIODS * size_factor(members) * REPORTED_DEATH_SHARE


def transmission_limit(members: int) -> int:
    """How often each member sends a change on."""
    return math.ceil(TRANSMISSIONS_PER_DECADE * math.log10(members + 2))


def spread_periods(members: int) -> float:
    """Periods in which a change that all send on has reached all: the rounds of one epidemic, doubled for losses."""
    return 2 * math.ceil(math.log2(members + 1))


def detect_bound(members: int, period: float) -> float:
    """Seconds from a death until every survivor has it dead, survivors being in the worst health. The sum is:

    first probe + its failing + the longest suspicion + the spreading of the death + the wait of one who is told.
    """
    first = min(FIRST_PROBE_PERIODS, 2 * members)
    periods = (
        first
        + (1 + MAX_HEALTH_SCORE)
        + MAX_SUSPICION_FACTOR * MIN_SUSPICION_PERIODS * size_factor(members)
        + spread_periods(members)
        + reported_death_periods(members)
    )
    return periods * period


def agree_bound(members: int, period: float) -> float:
    """Seconds from the last fault, no death among its kind, until all digests agree: a word across the old cut, the
    claims of death spread, their refutations spread, and twice as long again for what bounded datagrams put off."""
    carried = math.ceil(members / 20)  # periods: some 80 records a period that each can send
    return (RECALL_PERIODS + 1 + 2 * (2 * spread_periods(members) + carried)) * period


def settle_bound(members: int, period: float) -> float:
    """Seconds from the last fault until each member knows that all digests agree: every other one's has been told."""
    asked = (
        (members - 1) / (1 + DIGEST_CHECKS_PER_PERIOD)
        if members <= DIGEST_CHECK_PERIODS * DIGEST_CHECKS_PER_PERIOD
        else members - 1
    )
    longest = max(detect_bound(members, period), agree_bound(members, period))
    return longest + (4 + 1.5 * asked) * period
