"""The judge on constructed logs: what breaks each rule, what does not, and that the order of lines is irrelevant."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cypresspulley.rehearsal import records as log
from cypresspulley.rehearsal.judge import Verdict, judge
from cypresspulley.rehearsal.timeline import JudgeError, Timeline
from tests.rehearsal.logs import LogBuilder, day

LOST, TWICE, DRAINS, COLD, CEILINGS = range(5)
LogChange = Callable[[LogBuilder], None]


def broken(story: LogBuilder) -> list[int]:
    return [place for place, rule in enumerate(judge(story.done()).rules) if not rule.kept]


def broken_after(change: LogChange) -> list[int]:
    story = LogBuilder()
    story.served(1.0)
    change(story)
    story.served(15.0, "look", "n1", "s2")
    return broken(story)


# Rule 1.


def unanswered(s: LogBuilder) -> None:
    s.left(5.1, s.sent(2.0), "over")


def left_first(s: LogBuilder) -> None:
    s.left(2.5, s.sent(2.0), "impatient")


def closed(s: LogBuilder) -> None:
    s.broke(2.5, s.sent(2.0))


def closed_on_a_new_connection(s: LogBuilder) -> None:
    s.broke(2.5, s.sent(2.0, fresh=True))


def closed_on_a_new_connection_after_sending_on(s: LogBuilder) -> None:
    id = s.sent(2.0, fresh=True)
    s.arrived(2.1, id)
    s.broke(2.5, id)


def crossed_and_sent_once_more(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.broke(2.001, id)
    s.served(2.002, id=id, fresh=True)


def crossed_and_nobody_there(after: float) -> LogChange:
    """A reused connection is closed ``after`` seconds from a request, and reconnecting fails: the limiter restarts."""

    def change(s: LogBuilder) -> None:
        id = s.sent(2.0)
        s.broke(2.0 + after, id)
        s.records.append(log.Unreached(2.01, id, id, "n0"))

    return change


def sent_on_and_crossed_and_nobody_there(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.arrived(2.0001, id)
    s.broke(2.0002, id)
    s.records.append(log.Unreached(2.01, id, id, "n0"))


def sent_on_and_closed_and_sent_once_more(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.arrived(2.1, id)
    s.broke(2.2, id)
    s.served(2.3, id=id, fresh=True)


def sent_on_and_closed_and_refused_once_more(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.arrived(2.1, id)
    s.broke(2.2, id)
    s.answered(2.4, s.sent(2.3, id=id, fresh=True), 429)


def closed_half_way(s: LogBuilder) -> None:
    s.broke(2.5, s.sent(2.0, fresh=True), begun=True)


def killed(s: LogBuilder) -> None:
    s.limiter(2.5, "n0", "killed")
    s.broke(2.5, s.sent(2.0))


def killed_and_gone_and_back_in_one_tick(s: LogBuilder) -> None:
    id = s.sent(2.0)
    for what in ("started", "exited", "killed"):
        s.limiter(2.5, "n0", what)
    s.broke(2.5, id)


def killed_too_late(s: LogBuilder) -> None:
    s.broke(2.5, s.sent(2.0))
    s.limiter(2.6, "n0", "killed")


def killed_just_before(s: LogBuilder) -> None:
    s.limiter(2.0, "n0", "killed")
    s.broke(2.2, s.sent(2.1))


def back_before_the_break(s: LogBuilder) -> None:
    s.limiter(1.5, "n0", "killed")
    s.limiter(2.0, "n0", "started")
    s.broke(2.2, s.sent(2.1))


def another_killed(s: LogBuilder) -> None:
    s.limiter(2.5, "n1", "killed")
    s.broke(2.5, s.sent(2.0))


def answered_in_the_slack(s: LogBuilder) -> None:
    s.answered(5.058, s.sent(2.0), 504)


def answered_past_the_slack(s: LogBuilder) -> None:
    s.answered(5.06, s.sent(2.0), 504)


def answered_twice(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.answered(2.1, id, 502)
    s.answered(2.1, id, 502)


def bytes_behind(s: LogBuilder) -> None:
    s.records.append(log.Surplus(2.0, "n0", "x", 7))


def another_ones_answer(s: LogBuilder) -> None:
    id = s.sent(2.0)
    s.replied(2.2, s.arrived(2.1, id), body="mine")
    s.answered(2.3, id, body="yours")


def sent_on_after_the_answer(s: LogBuilder) -> None:
    id = s.sent(2.0, "look")
    s.answered(2.1, id, 502)
    s.arrived(2.2, id)


def sent_on_in_the_same_tick(s: LogBuilder) -> None:
    id = s.sent(2.0, "look")
    s.arrived(2.1, id)
    s.answered(2.1, id, 502)


# Rule 2.


def again(
    cls: str, outcome: Callable[[LogBuilder, int], None], server: str = "s2", at: float = 2.5
) -> LogChange:
    def change(s: LogBuilder) -> None:
        id = s.sent(2.0, cls, ttl=6.0)
        outcome(s, s.arrived(2.1, id))
        s.replied(at + 0.1, s.arrived(at, id, server), body=id)
        s.answered(at + 0.2, id, body=id)

    return change


def refused(cls: str, outcome: Callable[[LogBuilder, int], None]) -> LogChange:
    def change(s: LogBuilder) -> None:
        id = s.sent(2.0, cls)
        outcome(s, s.arrived(2.1, id))
        s.answered(2.5, id, 429)

    return change


def reset(s: LogBuilder, attempt: int) -> None:
    s.ended(2.2, attempt)


def turned_away(s: LogBuilder, attempt: int) -> None:
    s.replied(2.2, attempt, 503, "", proof=True)


def unmarked(s: LogBuilder, attempt: int) -> None:
    s.replied(2.2, attempt, 503, "", proof=False)


def silent(s: LogBuilder, attempt: int) -> None:
    pass


def asked_anew_after_a_death(s: LogBuilder) -> None:
    """A request ran through a limiter that died, and the client repeated it through another with a new id."""
    id = s.sent(2.0)
    s.replied(2.3, s.arrived(2.1, id), body=id)
    s.limiter(2.2, "n0", "killed")
    s.broke(2.2, id)
    s.served(2.4, "hand", "n1", "s2", first=id, number=1)


# Rule 3.


def drain(at: float, to: str = "s1", health: str = "draining") -> LogChange:
    def change(s: LogBuilder) -> None:
        s.told(4.0, "n0", False, s1=(health, -1e9))
        s.served(at - 0.01, "look", "n0", to)

    return change


def left_out_of_a_whole_list(s: LogBuilder) -> None:
    s.told(4.0, "n0", True, s2=("ready", -1e9), s3=("ready", -1e9))
    s.served(6.2, "look", "n0", "s1")


def drained_and_back(s: LogBuilder) -> None:
    s.told(4.0, "n0", False, s1=("draining", -1e9))
    s.told(5.0, "n0", False, s1=("ready", -1e9))
    s.served(9.0, "look", "n0", "s1")


def back_with_a_stale_list(s: LogBuilder) -> None:
    s.told(2.0, "n0", False, s1=("gone", -1e9))
    s.limiter(3.0, "n0", "killed")
    s.limiter(4.0, "n0", "started")
    s.told(4.0, "n0", True, s1=("ready", -1e9))
    s.served(6.0, "look", "n0", "s1")


def agent_knew(s: LogBuilder) -> None:
    """The agent had the news at 3 s. The limiter counts as knowing it at 9 s although it never read it."""
    s.records.append(log.Listed(3.0, "n0", False, False, {"s1": ("gone", -1e9)}))
    s.served(11.2, "look", "n0", "s1")


def agent_knew_and_told_otherwise_since(s: LogBuilder) -> None:
    """The agent's draining of 3 s was read at 3.1 s, and ready at 8 s: the draining must not apply again at 9 s."""
    s.records.append(log.Listed(3.0, "n0", False, False, {"s1": ("draining", -1e9)}))
    s.told(3.1, "n0", False, s1=("draining", -1e9))
    s.records.append(log.Listed(7.9, "n0", False, False, {"s1": ("ready", -1e9)}))
    s.told(8.0, "n0", False, s1=("ready", -1e9))
    s.served(11.5, "look", "n0", "s1")


def ready_news_older_than_the_list(s: LogBuilder) -> None:
    """The agent had s9 as ready at 3 s. A newer whole list without s9 was read at 4 s: s9 must not return at 9 s."""
    s.told(2.0, "n0", False, s9=("ready", -1e9))
    s.records.append(log.Listed(3.0, "n0", False, False, {"s9": ("ready", -1e9)}))
    s.told(4.0, "n0", True, s1=("ready", -1e9), s2=("ready", -1e9), s3=("ready", -1e9))
    s.served(10.0, "look", "n0", "s9")


def agent_knew_before_the_start(s: LogBuilder) -> None:
    s.limiter(2.0, "n0", "killed")
    s.records.append(log.Listed(3.0, "n0", False, False, {"s1": ("gone", -1e9)}))
    s.limiter(4.0, "n0", "started")
    s.told(4.0, "n0", True, s1=("ready", -1e9))
    s.served(12.2, "look", "n0", "s1")


def agent_knew_not_yet(s: LogBuilder) -> None:
    s.records.append(log.Listed(3.0, "n0", False, False, {"s1": ("gone", -1e9)}))
    s.served(10.8, "look", "n0", "s1")


# Rule 4: 2 cores at 0.145 of their speed 0.5 s after the start, times 2.5, for 2 s: 1.45 s and the largest request.


def by_hand(at: float, back: float | None = None, server: str = "s1", dies: bool = False) -> LogChange:
    def change(s: LogBuilder) -> None:
        s.records.append(log.Banned(4.0, "n0", "s1", True))
        if back is not None:
            s.records.append(log.Banned(back, "n0", "s1", False))
        if dies:  # a restarted limiter has forgotten the ban
            s.limiter(4.5, "n0", "killed")
            s.limiter(5.0, "n0", "started")
            s.told(5.0, "n0", True, s1=("ready", -1e9))
        s.told(5.5, "n0", False, s1=("ready", -1e9))  # a list does not lift the ban
        s.served(at - 0.01, "look", "n0", server)

    return change


def cold(count: int, limiter_told: bool = True, at: float = 3.0) -> LogChange:
    def change(s: LogBuilder) -> None:
        s.server(2.5, "s3", "started", "west")
        if limiter_told:
            s.told(2.6, "n0", False, s3=("ready", 2.5))
        for n in range(count):
            id = s.sent(at + n * 0.01, "look")
            s.arrived(at + n * 0.01, id, "s3")
            s.answered(at + 0.5, id, 502)

    return change


# Rule 5: 8 units at once and 4 per second; the slack is 1 unit plus 0.6.


def ceiling(count: int, every: float) -> LogChange:
    def change(s: LogBuilder) -> None:
        for n in range(count):
            s.served(2.0 + n * every, "look", f"n{n % 2}", plan="hard", account="c")

    return change


CASES: list[tuple[LogChange, list[int]]] = [
    (lambda s: None, []),
    (unanswered, [LOST]), (left_first, []), (closed, [LOST]), (closed_on_a_new_connection, []),
    (closed_on_a_new_connection_after_sending_on, [LOST]), (closed_half_way, [LOST]), (crossed_and_sent_once_more, []),
    (crossed_and_nobody_there(0.0002), []), (crossed_and_nobody_there(0.0011), [LOST]),
    (sent_on_and_crossed_and_nobody_there, [LOST]),
    (sent_on_and_closed_and_sent_once_more, [LOST]), (sent_on_and_closed_and_refused_once_more, [LOST]), (killed, []),
    (killed_too_late, [LOST]), (killed_and_gone_and_back_in_one_tick, []), (killed_just_before, []),
    (back_before_the_break, [LOST]),
    (another_killed, [LOST]), (answered_in_the_slack, []),
    (answered_past_the_slack, [LOST]), (answered_twice, [LOST]), (bytes_behind, [LOST]),
    (another_ones_answer, [LOST]), (sent_on_after_the_answer, [LOST]), (sent_on_in_the_same_tick, []),
    (again("hand", reset), [TWICE]), (again("hand", silent), [TWICE]), (again("hand", unmarked), [TWICE]),
    (again("hand", turned_away), []), (again("look", reset), []), (again("hand", turned_away, at=2.2), []),
    (again("keyed", reset), []), (again("keyed", reset, "s3"), [TWICE]),
    (again("keyed", reset, at=5.14), []), (again("keyed", reset, at=5.2), [TWICE]),
    (again("keyed", turned_away, "s3"), []),
    (refused("hand", reset), [TWICE]), (refused("hand", silent), [TWICE]), (refused("hand", turned_away), []),
    (refused("look", reset), []), (refused("keyed", reset), [TWICE]), (asked_anew_after_a_death, []),
    (drain(6.04), []), (drain(6.06), [DRAINS]), (drain(6.06, health="gone"), [DRAINS]),
    (drain(7.0, "s2"), []),
    (left_out_of_a_whole_list, [DRAINS]), (drained_and_back, []), (back_with_a_stale_list, []),
    (agent_knew, [DRAINS]), (agent_knew_not_yet, []), (agent_knew_and_told_otherwise_since, []),
    (ready_news_older_than_the_list, [DRAINS]),
    (agent_knew_before_the_start, [DRAINS]),
    (by_hand(6.04), []), (by_hand(6.06), [DRAINS]), (by_hand(9.0, server="s2"), []), (by_hand(9.0, back=8.9), []),
    (by_hand(8.0, back=8.9), [DRAINS]), (by_hand(9.0, dies=True), []),
    (cold(26), []), (cold(28), [COLD]), (cold(28, limiter_told=False), []), (cold(28, at=13.0), []),
    (ceiling(9, 0.01), []), (ceiling(10, 0.01), [CEILINGS]), (ceiling(30, 0.25), []), (ceiling(30, 0.2), []),
    (ceiling(70, 0.15), [CEILINGS]),
]  # fmt: skip


@pytest.mark.parametrize("number", range(len(CASES)))
def test_each_case_breaks_just_its_rule(number: int) -> None:
    change, expected = CASES[number]
    assert broken_after(change) == expected


def _text(verdict: Verdict) -> str:
    return repr(verdict)


@given(number=st.integers(0, len(CASES) - 1), seed=st.integers(0, 2**32))
@settings(max_examples=60, deadline=None)
def test_the_order_of_the_lines_changes_nothing(number: int, seed: int) -> None:
    story = LogBuilder()
    story.served(1.0)
    CASES[number][0](story)
    records = story.done()
    shuffled = records[:]
    random.Random(seed).shuffle(shuffled)
    assert _text(judge(shuffled)) == _text(judge(records))


@given(number=st.integers(0, len(CASES) - 1), seed=st.integers(0, 2**32), share=st.floats(0.05, 0.5))
@settings(max_examples=100, deadline=None)
def test_missing_records_are_gaps_and_no_crash(number: int, seed: int, share: float) -> None:
    story = LogBuilder()
    story.served(1.0)
    CASES[number][0](story)
    rng = random.Random(seed)
    kept = [r for r in story.done() if isinstance(r, log.Day) or rng.random() > share]
    verdict = judge(kept)
    arrived = {r.attempt for r in kept if isinstance(r, log.Arrived)}
    orphans = [
        r for r in kept if isinstance(r, log.Ran | log.Replied | log.Ended) and r.attempt not in arrived
    ]
    assert bool(verdict.void) or not orphans


def test_a_log_needs_one_day() -> None:
    with pytest.raises(JudgeError, match="holds 0"):
        judge([log.End(1.0)])
    with pytest.raises(JudgeError, match="holds 2"):
        judge([day(), day()])


def test_a_long_log_counts_each_request_once() -> None:
    story = LogBuilder(seconds=400.0)
    for n in range(4000):
        story.served(n * 0.1, "look", f"n{n % 2}", f"s{1 + n % 3}", account=str(n % 40))
    verdict = judge(story.done(500.0))
    assert verdict.kept and verdict.service.counts["served"] == 4000
    assert verdict.service.whole == pytest.approx(1.0) and verdict.rules[0].checked == 4000


def test_records_come_back_from_their_lines() -> None:
    story = LogBuilder()
    story.served(1.0)
    story.server(2.0, "s1", "crashed")
    story.records += [
        log.Happened(1.0, 2.0, "hall-cut", "east"), log.Usage(3.0, "n0", 1.0, 27.0, 0),
        log.Probed(1.0, "s1", "n0"),
        log.Tallied(1.0, "n0", "7", 1.0, 1.0, True), log.Complaint(1.0, "x"), log.Surplus(1.0, "n0", "x", 3),
        log.Unreached(1.0, "y", "y", "n1"), log.Left(1.0, "z", "over"), log.Lateness(1.0, 0.0),
    ]  # fmt: skip
    records = story.done()
    lines = [log.to_line(r) for r in records]
    again_ = [log.from_line(line, "x:1") for line in lines]
    assert again_ == records and _text(judge(again_)) == _text(judge(records))


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        ("{", "x:3: not JSON"),
        ("[1]", "x:3: expected an object with record"),
        ('{"record":"moved"}', "one of day, sent"),
        ('{"record":"end"}', "a End has t, unix_start"),
        ('{"record":"end","t":"soon","unix_start":0}', "End.t: expected float"),
        ('{"record":"end","t":true,"unix_start":0}', "End.t: expected float"),
        ("[" * 100_000, "x:3: not JSON"),
    ],
)
def test_a_line_that_is_no_record_is_named(line: str, expected: str) -> None:
    with pytest.raises(log.RecordError) as error:
        log.from_line(line, "x:3")
    assert expected in str(error.value)


def test_service_counts_what_came_in_time_inside_the_quota() -> None:
    story = LogBuilder()
    story.served(1.0)  # worth 5, in time
    late = story.sent(2.0, "look")  # worth 2, too late
    story.replied(3.3, story.arrived(2.1, late), body="x")
    story.answered(3.4, late, body="x")
    refused_ = story.sent(4.0, "look")  # worth 2, refused, and served by its retry in time
    story.answered(4.1, refused_, 429)
    story.served(4.3, "look", first=refused_, number=1)
    service = judge(story.done()).service
    assert service.whole == pytest.approx(7 / 9)
    assert service.by_class == {"hand": 1.0, "look": pytest.approx(0.5)}
    assert service.counts["offered"] == 3 and service.counts["retried"] == 1 and service.counts["late"] == 1


def test_what_is_sent_on_beyond_a_quota_costs() -> None:
    story = LogBuilder()
    for n in range(6):  # the bucket of "hard" holds 4 units
        story.served(1.0 + n * 0.001, "look", plan="hard", account="c")
    service = judge(story.done()).service
    assert service.counts["inside"] == 4 and service.counts["beyond_quota"] == 2
    assert service.whole == pytest.approx((4 * 2 - 2 * 0.5 * 2) / 8)


def test_a_late_kit_makes_the_run_void() -> None:
    story = LogBuilder()
    story.served(1.0)
    story.records += [log.Lateness(n * 0.05, 0.05) for n in range(100)]
    verdict = judge(story.done())
    assert "ran late" in verdict.void and not verdict.passed and verdict.kept


@pytest.mark.parametrize(("late", "void"), [((0.1,), False), ((0.1, 0.1), True), ((0.45,), True)])
def test_one_stall_of_a_short_day_is_no_percentile(late: tuple[float, ...], void: bool) -> None:
    story = LogBuilder()
    story.records += [log.Lateness(n * 0.05, 0.001) for n in range(60)]
    story.records += [log.Lateness(3.0 + n, each) for n, each in enumerate(late)]
    assert bool(judge(story.done()).void) is void


def test_a_crashed_limiter_fails_the_day() -> None:
    story = LogBuilder()
    story.limiter(3.0, "n0", "crashed")
    verdict = judge(story.done())
    assert verdict.crash.startswith("n0 ended by itself") and not verdict.passed


def paused(story: LogBuilder, start: float, end: float, limiter: str = "n0") -> None:
    story.records.append(log.Happened(start, end, "limiter-pause", limiter))


def late_answer(story: LogBuilder) -> None:
    id = story.sent(1.0)
    number = story.arrived(1.1, id)
    story.replied(1.2, number)
    story.records.append(log.Answered(6.0, id, 200, None, "b"))  # its deadline was 4


@pytest.mark.parametrize(("start", "end", "kept"), [(1.5, 5.9, True), (0.5, 1.0, True), (5.0, 5.9, False)])
def test_an_answer_is_late_without_blame_only_where_the_limiter_was_stopped(
    start: float, end: float, kept: bool
) -> None:
    story = LogBuilder()
    late_answer(story)
    paused(story, start, end)
    assert judge(story.done()).rules[0].kept is kept
    other = LogBuilder()
    late_answer(other)
    paused(other, start, end, "n1")
    assert not judge(other.done()).rules[0].kept


@pytest.mark.parametrize(("arrives", "kept"), [(7.0, True), (7.3, False)])
def test_a_drain_told_in_a_pause_is_heard_at_its_end(arrives: float, kept: bool) -> None:
    story = LogBuilder()
    paused(story, 2.0, 5.0)
    story.told(3.0, "n0", False, s1=("draining", -1e9))  # known by 5.1, to be obeyed by 7.1
    story.replied(arrives + 0.1, story.arrived(arrives, story.sent(arrives - 0.1)))
    assert judge(story.done()).rules[2].kept is kept


def test_a_server_given_back_in_a_pause_is_no_longer_draining() -> None:
    story = LogBuilder()
    paused(story, 2.0, 9.0)
    story.told(1.0, "n0", False, s1=("draining", -1e9))
    story.told(8.0, "n0", False, s1=("ready", -1e9))
    story.replied(9.1, story.arrived(9.02, story.sent(9.01)))
    assert judge(story.done()).rules[2].kept


def test_what_was_told_in_a_pause_stays_in_order() -> None:
    story = LogBuilder()
    paused(story, 2.0, 5.0)
    story.told(3.0, "n0", False, s1=("draining", -1e9))
    story.told(4.0, "n0", False, s1=("ready", -1e9))
    story.told(4.5, "n0", False, s1=("draining", -1e9))
    told = Timeline(story.done()).known_states_at("n0", "s1", 20.0)
    assert [(one.t, one.health) for one in told] == [
        (-0.4, "ready"), (4.0, "draining"), (4.0, "ready"), (5.1, "draining"),
    ]  # fmt: skip


@pytest.mark.parametrize(("limiter", "kept"), [("n0", True), ("n1", False)])
def test_no_answer_is_owed_by_a_limiter_that_was_stopped(limiter: str, kept: bool) -> None:
    story = LogBuilder()
    id = story.sent(1.0)
    story.left(4.2, id, "over")
    paused(story, 1.5, 9.0, limiter)
    assert judge(story.done()).rules[0].kept is kept
