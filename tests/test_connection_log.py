"""Tests the log of why connections ended: what it names, and that input cannot make it grow."""

from __future__ import annotations

import logging

import pytest

from cypresspulley.net.connection_log import MAX_CAUSES, REPORT_INTERVAL_SECONDS, ConnectionLog, EndCause


def test_an_interval_is_one_line_with_causes_memory_and_connections(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log = ConnectionLog(0.0, lambda: 32 * 1024 * 1024)
    for _ in range(3):
        log.count_end(EndCause.IDLE)
    log.count_rejection(400, "head too large")
    log.report(REPORT_INTERVAL_SECONDS / 2, 7, 0)
    assert caplog.messages == []
    log.report(REPORT_INTERVAL_SECONDS, 7, 1024 * 1024)
    assert caplog.messages == [
        "clients: 7 connections, 1.0 MB held, memory 32.0 MB; ended: idle 3, 400 head too large 1"
    ]
    log.report(2 * REPORT_INTERVAL_SECONDS, 7, 0)
    assert len(caplog.messages) == 1  # nothing happened, so there is no line


def test_ever_new_causes_do_not_make_it_grow(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    log = ConnectionLog(0.0)
    for number in range(10 * MAX_CAUSES):
        log.count_rejection(400, f"cause {number}")
    log.report(REPORT_INTERVAL_SECONDS, 1, 0)
    assert caplog.messages[0].count(", ") <= MAX_CAUSES + 2 and "other causes 576" in caplog.messages[0]
