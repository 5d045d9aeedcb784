"""The report on requests during a shutdown."""

from lynxreel.engine.shutdown_report import ConnectionHistory, ShutdownReport


def test_a_request_read_while_connections_are_closed_is_logged_until_its_end() -> None:
    now, lines = 10.0, list[str]()
    report = ShutdownReport(lambda: now, lines.append)
    report.state("leaving", 3, 2)
    report.request_read(b"early", 0, ConnectionHistory.NEW, 2.0)
    report.attempt_started(b"early", 0, "s-1", 2.0)
    report.draining = True
    now = 10.93
    report.request_read(b"late", 1, ConnectionHistory.BUSY, 21.566)
    report.attempt_started(b"late", 0, "s-2", 21.5)
    report.attempt_ended(b"late", 0, "timeout")
    now = 11.0
    report.request_ended(b"late", "failed", "no time")
    report.request_ended(b"early", "served", "")
    report.finish(1, 0)
    assert lines == [
        "shutdown +0.000 s: leaving, 3 connections, 2 requests without an answer",
        "shutdown +0.930 s: request late class 1 read on a busy connection, 21.566 s left",
        "shutdown +0.930 s: request late attempt 0 to s-2, time-out 21.500 s",
        "shutdown +0.930 s: request late attempt 0 ended: timeout",
        "shutdown +1.000 s: request late failed (no time)",
        "shutdown +1.000 s: ends; requests read since the stop: 1 on new, 1 on busy; "
        "ended: 1 failed, 1 served, 1 connections, 0 requests without an answer",
    ]
    assert report.counts() == {"read": {"new": 1, "busy": 1}, "ended": {"failed": 1, "served": 1}}


def test_lines_on_requests_are_limited_and_do_not_crowd_out_those_on_states() -> None:
    now, lines = 0.0, list[str]()
    report = ShutdownReport(lambda: now, lines.append)
    report.draining = True
    for number in range(30):
        report.request_read(b"%d" % number, 0, ConnectionHistory.BUSY, 1.0)
    assert len(lines) == 10
    report.state("draining", 1, 30)
    assert len(lines) == 11
    now = 1.0
    report.request_ended(b"0", "served", "")
    assert lines[11:] == [
        "shutdown +1.000 s: 20 more lines on requests left out",
        "shutdown +1.000 s: request 0 served",
    ]
