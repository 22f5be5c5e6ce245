"""Failure scenarios of the membership view in virtual time: real detectors on a simulated network."""

from __future__ import annotations

from collections import Counter

import pytest

from benchmarks.fleet_bed import SimulatedFleet, address
from cypresspulley.fleet import timing
from cypresspulley.fleet.records import MemberState
from cypresspulley.fleet.view import ROW_QUIET_SECONDS


def wait_for_agreement(fleet: SimulatedFleet, within: float) -> float:
    """Run until all digests agree, which has to happen within the bound, and return the seconds taken."""
    started_at = fleet.now
    assert fleet.run(started_at + within, fleet.agree), [repr(host.detector) for host in fleet.live()][:5]
    return fleet.now - started_at


def started_fleet(
    size: int, seed: int = 1, loss: float = 0.0, warm: bool = False, **ways: float
) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, loss=loss, **ways)
    fleet.start_members(size, warm=warm)
    wait_for_agreement(fleet, timing.agree_bound(size, fleet.period))
    return fleet


def test_loss_of_five_in_a_hundred_kills_nobody_and_settles() -> None:
    fleet = started_fleet(40, loss=0.05, duplication=0.02, warm=True)
    fleet.run(30)
    assert fleet.deaths() == []
    assert (
        sum(change.member.state is MemberState.SUSPECTED for change in fleet.changes) > 0
    )  # suspicions were raised and refuted
    wait_for_agreement(fleet, 10)


def test_a_third_of_two_hundred_killed_at_once_are_dead_everywhere_inside_the_bound() -> None:
    fleet = started_fleet(200, warm=True)
    gone = {f"l{n}" for n in range(0, 200, 3)}
    for name in gone:
        fleet.kill(name)
    assert fleet.run(fleet.now + timing.detect_bound(200, 0.5), fleet.agree, every=0.5)
    assert {change.member.name for change in fleet.deaths()} == gone


def test_flapping_links_kill_nobody() -> None:
    fleet = started_fleet(8)
    fleet.cuts.append(lambda a, b: {a, b} == {"l1", "l2"} and int(fleet.now) % 2 == 0)
    fleet.cuts.append(lambda a, b: a == "l3" and b in {"l4", "l5"} and int(fleet.now / 0.7) % 2 == 0)
    fleet.run(60)
    assert fleet.deaths() == []
    fleet.cuts.clear()
    wait_for_agreement(fleet, timing.agree_bound(8, 0.5))


def test_a_link_of_one_member_that_comes_and_goes_kills_nobody_else() -> None:
    fleet = started_fleet(8)
    fleet.cuts.append(lambda a, b: "l7" in (a, b) and int(fleet.now / 3) % 2 == 0)
    fleet.run(60)
    assert {change.member.name for change in fleet.deaths() if change.observer != "l7"} <= {"l7"}
    fleet.cuts.clear()
    wait_for_agreement(fleet, timing.agree_bound(8, 0.5))


def test_a_slow_member_speaks_wrongly_of_others_and_kills_nobody() -> None:
    fleet = started_fleet(8)
    fleet.hosts["l5"].lag = 1.5  # it receives everything three periods late
    health = list[int]()
    for _ in range(40):
        fleet.run(fleet.now + 1)
        health.append(fleet.hosts["l5"].detector.health.score)
    wrong = [
        change
        for change in fleet.changes
        if change.observer == "l5" and change.member.state is MemberState.SUSPECTED
    ]
    assert wrong  # it raised false suspicions
    assert fleet.deaths() == [] and max(health) >= 3


def test_two_fleets_with_seeds_mixed_up_stay_two() -> None:
    fleet = SimulatedFleet(1)
    for n in range(3):
        fleet.start(f"a{n}", ["a0", "b0"], installation="a")
        fleet.start(f"b{n}", ["a1", "b1"], installation="b")
        fleet.start(f"c{n}", ["c0", "a0"], installation="a", key=b"another key than the others have")
    fleet.run(30)
    for host in fleet.live():
        names = {member.name for member in host.detector.view.members()}
        assert names == {f"{host.name[0]}{n}" for n in range(3)}
    dropped = sum((fleet.hosts[f"a{n}"].detector.counts for n in range(3)), Counter[str]())
    assert dropped["foreign"] and dropped["digest"]


def test_datagrams_foreign_cut_old_replayed_and_overlong_change_nothing() -> None:
    fleet, caught = SimulatedFleet(1), list[tuple[str, bytes]]()
    fleet.start_members(5, warm=False)
    fleet.tap = lambda source, target, data: caught.append((target, data))
    fleet.run(10)
    fleet.kill("l4")
    assert fleet.run(40, lambda: fleet.states("l4") == {MemberState.DEAD})
    fleet.run(fleet.now + 10)
    fleet.tap = None
    before = [(host.detector.view.digest, host.detector.view.members()) for host in fleet.live()]
    taken = len(fleet.changes)
    started_at = fleet.now
    for n, (target, data) in enumerate(caught[:600]):
        fleet.carry("nobody", target, data)  # replayed unchanged, also from the dead member
        fleet.carry("nobody", f"l{n % 4}", data)  # replayed to other members
        fleet.carry("nobody", target, data[:-3])
        fleet.carry("nobody", target, data + bytes(1200))
        fleet.carry("nobody", target, bytes([data[0], *(byte ^ 1 for byte in data[1:])]))
    fleet.run(started_at + 5)
    assert [(host.detector.view.digest, host.detector.view.members()) for host in fleet.live()] == before
    assert len(fleet.changes) == taken and fleet.states("l4") == {MemberState.DEAD}
    counts = fleet.hosts["l0"].detector.counts
    assert counts["replayed"] > 50 and counts["long"] > 50 and counts["digest"] > 50


@pytest.mark.parametrize("size", [8, 40])
def test_a_member_paused_five_seconds_comes_back_and_nobody_dies(size: int) -> None:
    fleet = started_fleet(size, warm=True)
    fleet.run(5)
    fleet.pause("l3")
    fleet.run(10)
    assert MemberState.SUSPECTED in fleet.states("l3")
    fleet.resume("l3")
    wait_for_agreement(fleet, timing.agree_bound(size, 0.5))
    assert fleet.deaths() == []
    accused = {change.member.name for change in fleet.changes if change.member.state is MemberState.SUSPECTED}
    assert accused == {"l3"}  # after the pause it suspects nobody for what it missed
    assert any(change.cause == "refuted" and change.member.name == "l3" for change in fleet.changes)


def test_one_that_returns_with_its_clock_an_hour_back_lives_again_and_its_old_life_does_not() -> None:
    fleet = started_fleet(8)
    fleet.run(10)
    old = fleet.hosts["l2"].detector.view.local_member.life
    fleet.kill("l2")
    fleet.run(12)
    fleet.start("l2", ["l0", "l1"], offset=-3600.0)
    wait_for_agreement(fleet, timing.agree_bound(8, 0.5))
    lives = {member.life for host in fleet.live() if (member := host.detector.view.get("l2"))}
    assert lives == {old + 1} and fleet.states("l2") == {MemberState.ALIVE}
    fleet.run(fleet.now + 30)
    at = [
        change.member.life
        for change in fleet.changes
        if change.member.name == "l2" and change.observer != "l2"
    ]
    assert fleet.agree() and sorted(at) == at
    estimate = fleet.hosts["l2"].detector.clocks.estimate_error(fleet.now, fleet.wall(fleet.hosts["l2"]), 7)
    assert estimate is not None and estimate[0] == pytest.approx(-3600, abs=0.1) and estimate[1] > estimate[0]


def test_a_partition_of_five_and_three_heals_into_one_view() -> None:
    fleet = started_fleet(8)
    few = {"l5", "l6", "l7"}
    fleet.cuts.append(lambda a, b: (a in few) != (b in few))
    fleet.run(fleet.now + 20)
    assert (
        fleet.hosts["l0"].detector.view.present_count == 5
        and fleet.hosts["l6"].detector.view.present_count == 3
    )
    fleet.cuts.clear()
    healed = fleet.now
    wait_for_agreement(fleet, timing.agree_bound(8, 0.5))
    fleet.run(fleet.now + 20)
    assert fleet.agree() and all(host.detector.is_settled() for host in fleet.live())
    late = [(change.observer, change.member.name) for change in fleet.deaths() if change.at > healed]
    assert late == []  # no member is declared dead by its own side after the partition


def test_a_cut_without_any_seed_heals_too() -> None:
    fleet = SimulatedFleet(1)
    fleet.start_members(6, seeds=0)
    fleet.cuts.append(lambda a, b: (a in {"l0", "l1"}) != (b in {"l0", "l1"}))
    fleet.run(20)
    assert {host.detector.view.present_count for host in fleet.live()} == {2, 4}
    fleet.cuts.clear()
    wait_for_agreement(fleet, timing.agree_bound(6, 0.5))


def test_a_partial_cut_kills_nobody() -> None:
    fleet = started_fleet(8)
    fleet.cuts.append(lambda a, b: {a, b} == {"l0", "l1"})
    fleet.cuts.append(
        lambda a, b: a == "l2" and b in {"l3", "l4"}
    )  # links that are cut in one direction only
    fleet.run(fleet.now + 60)
    assert fleet.deaths() == []


def test_a_leaver_is_suspected_by_nobody() -> None:
    fleet = started_fleet(8)
    fleet.leave("l4", after=1.0)
    fleet.run(fleet.now + 30)
    seen = {
        change.member.state
        for change in fleet.changes
        if change.member.name == "l4" and change.observer != "l4"
    }
    assert seen <= {MemberState.JOINING, MemberState.ALIVE, MemberState.LEAVING, MemberState.LEFT}
    assert fleet.states("l4") == {MemberState.LEFT} and fleet.agree()


def test_a_leaver_whose_last_words_are_lost_is_left_not_dead() -> None:
    fleet = started_fleet(8)
    fleet.leave("l4", after=1.5)
    fleet.at(fleet.now + 1.4, lambda: fleet.cuts.append(lambda a, b: a == "l4"))
    fleet.run(fleet.now + 30)
    assert fleet.states("l4") == {MemberState.LEFT} and fleet.deaths() == []


def test_all_but_one_restarted_at_once_are_one_fleet_in_new_lives() -> None:
    fleet = started_fleet(8)
    fleet.run(10)
    for n in range(1, 8):
        fleet.kill(f"l{n}")
    fleet.run(11)
    for n in range(1, 8):
        fleet.start(f"l{n}", ["l0", "l1"])
    wait_for_agreement(fleet, timing.agree_bound(8, 0.5))
    assert len({member.life for member in fleet.hosts["l0"].detector.view.members()}) == 2


def test_seeds_that_are_all_down_at_the_start_are_tried_until_they_come() -> None:
    fleet = SimulatedFleet(1)
    for n in range(2, 8):
        fleet.start(f"l{n}", ["l0", "l1"])
    fleet.run(40)
    assert {host.detector.view.present_count for host in fleet.live()} == {1}
    fleet.start("l0", ["l0", "l1"])
    wait_for_agreement(fleet, 16 * 1.25 * 0.5 + timing.agree_bound(8, 0.5))
    assert fleet.hosts["l0"].detector.view.present_count == 7


def test_rows_reach_all_in_time_and_a_lost_one_is_found_by_exchange() -> None:
    fleet = started_fleet(12, loss=0.05)
    rounds = 0

    def publish() -> None:
        nonlocal rounds
        rounds += 1
        for name, host in fleet.hosts.items():
            host.detector.view.publish(fleet.now, "lanes", f"{name} {rounds}".encode().ljust(120))
        if fleet.now < 40:
            fleet.at(fleet.now + 0.5, publish)

    publish()
    fleet.run(40)
    ages = [row.age for host in fleet.live() for row in host.detector.view.rows(fleet.now, "lanes")]
    assert len(ages) == 144 and max(ages) < 6.0
    fleet.run(80)
    for host in fleet.live():
        bodies = {row.body for row in host.detector.view.rows(fleet.now, "lanes")}
        assert bodies == {f"{name} {rounds}".encode().ljust(120) for name in fleet.hosts}


def test_one_that_joins_a_quiet_fleet_has_its_whole_view_at_once() -> None:
    fleet = started_fleet(40, warm=True)
    fleet.run(15)  # gossip has ceased
    fleet.start("new", ["l0", "l1"])
    assert fleet.run(fleet.now + 1.0, lambda: fleet.hosts["new"].detector.view.present_count == 41)


def test_a_row_said_once_behind_a_cut_is_found_after_it() -> None:
    fleet = started_fleet(8, warm=True)
    fleet.cuts.append(lambda a, b: "l3" in (a, b))
    fleet.hosts["l0"].detector.view.publish(fleet.now, "closing", b"calendar")
    fleet.run(fleet.now + 4)
    fleet.cuts.clear()
    row = fleet.hosts["l3"].detector.view.rows
    assert (
        row(fleet.now, "closing") == ()
        and len(fleet.hosts["l4"].detector.view.rows(fleet.now, "closing")) == 1
    )
    assert fleet.run(fleet.now + 2 * ROW_QUIET_SECONDS, lambda: row(fleet.now, "closing") != ())


def test_a_document_reaches_all_that_want_it() -> None:
    fleet = started_fleet(8, loss=0.05)
    body = bytes(range(256)) * 256
    digest = fleet.hosts["l3"].detector.documents.store(body)
    for host in fleet.live():
        host.detector.documents.request(digest)
    assert fleet.run(
        fleet.now + 30, lambda: all(h.detector.documents.get(digest) == body for h in fleet.live())
    )


def test_a_member_that_joins_during_a_cut_is_known_to_all_after_it() -> None:
    fleet = started_fleet(8)
    few = {"l6", "l7", "l8"}
    fleet.cuts.append(lambda a, b: (a in few) != (b in few))
    fleet.run(fleet.now + 3)
    fleet.start("l8", ["l7"])
    fleet.run(fleet.now + 10)
    fleet.cuts.clear()
    wait_for_agreement(fleet, timing.agree_bound(9, 0.5))
    assert fleet.hosts["l0"].detector.view.get("l8") is not None


def test_one_seed_is_one_trace() -> None:
    def trace() -> list[object]:
        fleet = started_fleet(8, seed=7, loss=0.1)
        fleet.kill("l1")
        fleet.run(20)
        return [*fleet.changes, fleet.sent, address("l1")]

    assert trace() == trace()
