"""Time-outs of the failure detector and the bounds that follow from them, in seconds or, where named so, probe periods.

The duration of a suspicion grows with the logarithm of the fleet's size and shrinks with each further accuser (Dadgar,
Phillips and Currey, "Lifeguard", 2017, section IV-B). Each member retransmits a change a number of times that grows
with the logarithm of the size (Das, Gupta and Motivala, "SWIM", 2002, section 4.1).
"""

from __future__ import annotations

import math

DIRECT_TIMEOUT_PERIODS = 0.4  # a ping unanswered for so long leads to ping requests
PROBE_TIMEOUT_PERIODS = 0.95  # a probe unanswered for so long has failed
INDIRECT_PROBES = 3  # members that receive a ping request for an unanswered ping
MIN_SUSPICION_PERIODS = 10.0  # at 8 members, with all confirmations
MAX_SUSPICION_FACTOR = 1.5  # longest suspicion (a single accuser) over the shortest
SUSPICION_CONFIRMATIONS = 3  # further accusers that shorten a suspicion to its minimum
# Share of the shortest suspicion for which a reported death is held as a suspicion, so that the member can refute it.
REPORTED_DEATH_SHARE = 0.5
TRANSMISSIONS_PER_DECADE = 4.0  # sends of a change by each member, per power of ten of the fleet's size
MAX_HEALTH_SCORE = 4  # worst local health score; probe time-outs are multiplied by the score plus one
RECALL_PERIODS = 8  # interval of pings to dead members and to seeds that are not in the view
DIGEST_CHECKS_PER_PERIOD = 2  # pings to members whose last reported digest differs
DIGEST_CHECK_PERIODS = 16  # time after a membership change in which these pings are sent
STALL_PERIODS = 0.25  # a timer that is later than this shows that the process was stalled
MIN_STALL_SECONDS = 0.1  # lower limit of a stall: a busy event loop is late by tens of milliseconds at times
# Periods until a given member of a large fleet has been probed: the probability that nobody picked it is exp(-10).
FIRST_PROBE_PERIODS = 10


def size_factor(members: int) -> float:
    """Return the factor of suspicion times by fleet size: 1 at 8 members, 3 at 998."""
    return max(1.0, math.log10(members + 2))


def suspicion_periods(members: int, accusers: int) -> float:
    """Return the periods from the start of a suspicion to death; ``accusers`` are those besides the first."""
    minimum = MIN_SUSPICION_PERIODS * size_factor(members)
    confirmations = min(SUSPICION_CONFIRMATIONS, members - 2)
    if confirmations <= 0:  # no other member could confirm the suspicion
        return minimum
    share = min(1.0, math.log(accusers + 1) / math.log(confirmations + 1))
    return minimum * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1) * share)


def reported_death_periods(members: int) -> float:
    """Return the periods for which a death reported by another member is held as a suspicion."""
    return MIN_SUSPICION_PERIODS * size_factor(members) * REPORTED_DEATH_SHARE


def transmission_limit(members: int) -> int:
    """Return how often each member sends a change."""
    return math.ceil(TRANSMISSIONS_PER_DECADE * math.log10(members + 2))


def spread_periods(members: int) -> float:
    """Return the periods for gossip to reach all members: the rounds of one epidemic, doubled for datagram loss."""
    return 2 * math.ceil(math.log2(members + 1))


def detect_bound(members: int, period: float) -> float:
    """Return a bound, in seconds, on the time from a death until every survivor holds the member dead.

    It assumes the worst local health at the survivors and is the sum of: the wait for the first probe, the probe's
    time-out, the longest suspicion, the dissemination of the death and the suspicion at a member that it is reported
    to.
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
    """Return a bound, in seconds, on the time from the end of the last fault (not a death) until all digests agree.

    It covers a ping across the former partition and the dissemination of death claims and of their refutations; the
    dissemination counts twice, because datagrams of bounded size postpone records.
    """
    record_periods = math.ceil(members / 20)  # a member can send some 80 records a period
    return (RECALL_PERIODS + 1 + 2 * (2 * spread_periods(members) + record_periods)) * period


def settle_bound(members: int, period: float) -> float:
    """Return a bound, in seconds, on the time from the last fault until each member has heard all digests agree."""
    check_periods = (
        (members - 1) / (1 + DIGEST_CHECKS_PER_PERIOD)
        if members <= DIGEST_CHECK_PERIODS * DIGEST_CHECKS_PER_PERIOD
        else members - 1
    )
    longest = max(detect_bound(members, period), agree_bound(members, period))
    return longest + (4 + 1.5 * check_periods) * period
