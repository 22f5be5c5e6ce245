"""The hard cases of the view in virtual time: real detectors, a network of the bed's own."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.fleet_bed import SimulatedFleet, address
from cypresspulley.fleet import timing
from cypresspulley.fleet.records import MemberState
from cypresspulley.fleet.view import ROW_QUIET_SECONDS


def wait_agreed(bed: SimulatedFleet, within: float) -> float:
    """Seconds until all digests agree, which has to be inside the bound."""
    began = bed.now
    assert bed.run(began + within, bed.agree), [repr(host.detector) for host in bed.live()][:5]
    return bed.now - began


def grown(size: int, seed: int = 1, loss: float = 0.0, warm: bool = False, **ways: float) -> SimulatedFleet:
    bed = SimulatedFleet(seed, loss=loss, **ways)
    bed.fleet(size, warm=warm)
    wait_agreed(bed, timing.agree_bound(size, bed.period))
    return bed


def test_loss_of_five_in_a_hundred_kills_nobody_and_settles() -> None:
    bed = grown(40, loss=0.05, double=0.02, warm=True)
    bed.run(30)
    assert bed.deaths() == []
    assert (
        sum(news.member.state is MemberState.SUSPECTED for news in bed.news) > 0
    )  # there was something to refute
    wait_agreed(bed, 10)


def test_a_third_of_two_hundred_killed_at_once_are_dead_everywhere_inside_the_bound() -> None:
    bed = grown(200, warm=True)
    gone = {f"l{n}" for n in range(0, 200, 3)}
    for name in gone:
        bed.kill(name)
    assert bed.run(bed.now + timing.detect_bound(200, 0.5), bed.agree, every=0.5)
    assert {news.member.name for news in bed.deaths()} == gone


def test_flapping_links_kill_nobody() -> None:
    bed = grown(8)
    bed.cuts.append(lambda a, b: {a, b} == {"l1", "l2"} and int(bed.now) % 2 == 0)
    bed.cuts.append(lambda a, b: a == "l3" and b in {"l4", "l5"} and int(bed.now / 0.7) % 2 == 0)
    bed.run(60)
    assert bed.deaths() == []
    bed.cuts.clear()
    wait_agreed(bed, timing.agree_bound(8, 0.5))


def test_a_link_of_one_member_that_comes_and_goes_kills_nobody_else() -> None:
    bed = grown(8)
    bed.cuts.append(lambda a, b: "l7" in (a, b) and int(bed.now / 3) % 2 == 0)
    bed.run(60)
    assert {news.member.name for news in bed.deaths() if news.observer != "l7"} <= {"l7"}
    bed.cuts.clear()
    wait_agreed(bed, timing.agree_bound(8, 0.5))


def test_a_slow_member_speaks_wrongly_of_others_and_kills_nobody() -> None:
    bed = grown(8)
    bed.hosts["l5"].lag = 1.5  # all it hears comes three periods late
    health = list[int]()
    for _ in range(40):
        bed.run(bed.now + 1)
        health.append(bed.hosts["l5"].detector.health.score)
    wrong = [
        news for news in bed.news if news.observer == "l5" and news.member.state is MemberState.SUSPECTED
    ]
    assert wrong  # it did accuse
    assert bed.deaths() == [] and max(health) >= 3


def test_two_fleets_with_seeds_mixed_up_stay_two() -> None:
    bed = SimulatedFleet(1)
    for n in range(3):
        bed.start(f"a{n}", ["a0", "b0"], installation="a")
        bed.start(f"b{n}", ["a1", "b1"], installation="b")
        bed.start(f"c{n}", ["c0", "a0"], installation="a", key=b"another key than the others have")
    bed.run(30)
    for host in bed.live():
        names = {member.name for member in host.detector.view.members()}
        assert names == {f"{host.name[0]}{n}" for n in range(3)}
    dropped = sum((bed.hosts[f"a{n}"].detector.counts for n in range(3)), Counter[str]())
    assert dropped["foreign"] and dropped["digest"]


def test_datagrams_foreign_cut_old_replayed_and_overlong_change_nothing() -> None:
    bed, caught = SimulatedFleet(1), list[tuple[str, bytes]]()
    bed.fleet(5, warm=False)
    bed.tap = lambda source, target, data: caught.append((target, data))
    bed.run(10)
    bed.kill("l4")
    assert bed.run(40, lambda: bed.states("l4") == {MemberState.DEAD})
    bed.run(bed.now + 10)
    bed.tap = None
    before = [(host.detector.view.digest, host.detector.view.members()) for host in bed.live()]
    taken = len(bed.news)
    began = bed.now
    for n, (target, data) in enumerate(caught[:600]):
        bed.carry("nobody", target, data)  # replayed as it was, also of the dead one
        bed.carry("nobody", f"l{n % 4}", data)  # and to others
        bed.carry("nobody", target, data[:-3])
        bed.carry("nobody", target, data + bytes(1200))
        bed.carry("nobody", target, bytes([data[0], *(byte ^ 1 for byte in data[1:])]))
    bed.run(began + 5)
    assert [(host.detector.view.digest, host.detector.view.members()) for host in bed.live()] == before
    assert len(bed.news) == taken and bed.states("l4") == {MemberState.DEAD}
    counts = bed.hosts["l0"].detector.counts
    assert counts["replayed"] > 50 and counts["long"] > 50 and counts["digest"] > 50


@pytest.mark.parametrize("size", [8, 40])
def test_a_member_paused_five_seconds_comes_back_and_nobody_dies(size: int) -> None:
    bed = grown(size, warm=True)
    bed.run(5)
    bed.pause("l3")
    bed.run(10)
    assert MemberState.SUSPECTED in bed.states("l3")
    bed.resume("l3")
    wait_agreed(bed, timing.agree_bound(size, 0.5))
    assert bed.deaths() == []
    accused = {news.member.name for news in bed.news if news.member.state is MemberState.SUSPECTED}
    assert accused == {"l3"}  # it woke, and accused nobody of its own silence
    assert any(news.cause == "refuted" and news.member.name == "l3" for news in bed.news)


def test_one_that_returns_with_its_clock_an_hour_back_lives_again_and_its_old_life_does_not() -> None:
    bed = grown(8)
    bed.run(10)
    old = bed.hosts["l2"].detector.view.local_member.life
    bed.kill("l2")
    bed.run(12)
    bed.start("l2", ["l0", "l1"], offset=-3600.0)
    wait_agreed(bed, timing.agree_bound(8, 0.5))
    lives = {member.life for host in bed.live() if (member := host.detector.view.get("l2"))}
    assert lives == {old + 1} and bed.states("l2") == {MemberState.ALIVE}
    bed.run(bed.now + 30)
    at = [news.member.life for news in bed.news if news.member.name == "l2" and news.observer != "l2"]
    assert bed.agree() and sorted(at) == at
    estimate = bed.hosts["l2"].detector.clocks.estimate_error(bed.now, bed.wall(bed.hosts["l2"]), 7)
    assert estimate is not None and estimate[0] == pytest.approx(-3600, abs=0.1) and estimate[1] > estimate[0]


def test_a_partition_of_five_and_three_heals_into_one_view() -> None:
    bed = grown(8)
    few = {"l5", "l6", "l7"}
    bed.cuts.append(lambda a, b: (a in few) != (b in few))
    bed.run(bed.now + 20)
    assert (
        bed.hosts["l0"].detector.view.present_count == 5 and bed.hosts["l6"].detector.view.present_count == 3
    )
    bed.cuts.clear()
    healed = bed.now
    wait_agreed(bed, timing.agree_bound(8, 0.5))
    bed.run(bed.now + 20)
    assert bed.agree() and all(host.detector.settled() for host in bed.live())
    late = [(news.observer, news.member.name) for news in bed.deaths() if news.at > healed]
    assert late == []  # what each side believes of its own is not shaken by what the other thought


def test_a_cut_without_any_seed_heals_too() -> None:
    bed = SimulatedFleet(1)
    bed.fleet(6, seeds=0)
    bed.cuts.append(lambda a, b: (a in {"l0", "l1"}) != (b in {"l0", "l1"}))
    bed.run(20)
    assert {host.detector.view.present_count for host in bed.live()} == {2, 4}
    bed.cuts.clear()
    wait_agreed(bed, timing.agree_bound(6, 0.5))


def test_a_partial_cut_kills_nobody() -> None:
    bed = grown(8)
    bed.cuts.append(lambda a, b: {a, b} == {"l0", "l1"})
    bed.cuts.append(lambda a, b: a == "l2" and b in {"l3", "l4"})  # and a way that is cut in one direction
    bed.run(bed.now + 60)
    assert bed.deaths() == []


def test_a_leaver_is_suspected_by_nobody() -> None:
    bed = grown(8)
    bed.leave("l4", after=1.0)
    bed.run(bed.now + 30)
    seen = {news.member.state for news in bed.news if news.member.name == "l4" and news.observer != "l4"}
    assert seen <= {MemberState.JOINING, MemberState.ALIVE, MemberState.LEAVING, MemberState.LEFT}
    assert bed.states("l4") == {MemberState.LEFT} and bed.agree()


def test_a_leaver_whose_last_words_are_lost_is_left_not_dead() -> None:
    bed = grown(8)
    bed.leave("l4", after=1.5)
    bed.at(bed.now + 1.4, lambda: bed.cuts.append(lambda a, b: a == "l4"))
    bed.run(bed.now + 30)
    assert bed.states("l4") == {MemberState.LEFT} and bed.deaths() == []


def test_all_but_one_restarted_at_once_are_one_fleet_in_new_lives() -> None:
    bed = grown(8)
    bed.run(10)
    for n in range(1, 8):
        bed.kill(f"l{n}")
    bed.run(11)
    for n in range(1, 8):
        bed.start(f"l{n}", ["l0", "l1"])
    wait_agreed(bed, timing.agree_bound(8, 0.5))
    assert len({member.life for member in bed.hosts["l0"].detector.view.members()}) == 2


def test_seeds_that_are_all_down_at_the_start_are_tried_until_they_come() -> None:
    bed = SimulatedFleet(1)
    for n in range(2, 8):
        bed.start(f"l{n}", ["l0", "l1"])
    bed.run(40)
    assert {host.detector.view.present_count for host in bed.live()} == {1}
    bed.start("l0", ["l0", "l1"])
    wait_agreed(bed, 16 * 1.25 * 0.5 + timing.agree_bound(8, 0.5))
    assert bed.hosts["l0"].detector.view.present_count == 7


def test_rows_reach_all_in_time_and_a_lost_one_is_found_by_exchange() -> None:
    bed = grown(12, loss=0.05)
    rounds = 0

    def publish() -> None:
        nonlocal rounds
        rounds += 1
        for name, host in bed.hosts.items():
            host.detector.view.publish(bed.now, "lanes", f"{name} {rounds}".encode().ljust(120))
        if bed.now < 40:
            bed.at(bed.now + 0.5, publish)

    publish()
    bed.run(40)
    ages = [row.age for host in bed.live() for row in host.detector.view.rows(bed.now, "lanes")]
    assert len(ages) == 144 and max(ages) < 6.0
    bed.run(80)
    for host in bed.live():
        bodies = {row.body for row in host.detector.view.rows(bed.now, "lanes")}
        assert bodies == {f"{name} {rounds}".encode().ljust(120) for name in bed.hosts}


def test_one_that_joins_a_quiet_fleet_has_its_whole_view_at_once() -> None:
    bed = grown(40, warm=True)
    bed.run(15)  # nothing is sent on any more
    bed.start("new", ["l0", "l1"])
    assert bed.run(bed.now + 1.0, lambda: bed.hosts["new"].detector.view.present_count == 41)


def test_a_row_said_once_behind_a_cut_is_found_after_it() -> None:
    bed = grown(8, warm=True)
    bed.cuts.append(lambda a, b: "l3" in (a, b))
    bed.hosts["l0"].detector.view.publish(bed.now, "closing", b"calendar")
    bed.run(bed.now + 4)
    bed.cuts.clear()
    row = bed.hosts["l3"].detector.view.rows
    assert row(bed.now, "closing") == () and len(bed.hosts["l4"].detector.view.rows(bed.now, "closing")) == 1
    assert bed.run(bed.now + 2 * ROW_QUIET_SECONDS, lambda: row(bed.now, "closing") != ())


def test_a_document_reaches_all_that_want_it() -> None:
    bed = grown(8, loss=0.05)
    body = bytes(range(256)) * 256
    digest = bed.hosts["l3"].detector.documents.store(body)
    for host in bed.live():
        host.detector.documents.request(digest)
    assert bed.run(bed.now + 30, lambda: all(h.detector.documents.get(digest) == body for h in bed.live()))


def test_a_member_that_joins_during_a_cut_is_known_to_all_after_it() -> None:
    bed = grown(8)
    few = {"l6", "l7", "l8"}
    bed.cuts.append(lambda a, b: (a in few) != (b in few))
    bed.run(bed.now + 3)
    bed.start("l8", ["l7"])
    bed.run(bed.now + 10)
    bed.cuts.clear()
    wait_agreed(bed, timing.agree_bound(9, 0.5))
    assert bed.hosts["l0"].detector.view.get("l8") is not None


def test_one_seed_is_one_trace() -> None:
    def trace() -> list[object]:
        bed = grown(8, seed=7, loss=0.1)
        bed.kill("l1")
        bed.run(20)
        return [*bed.news, bed.sent, address("l1")]

    assert trace() == trace()
