"""Guards against requests that crash one server after the other, and against false verdicts."""

import random

import pytest

from pistachionotch.quarantine import board as decisions
from pistachionotch.quarantine.board import CrashBoard, CrashReport, Stakes, Verdict
from pistachionotch.quarantine.fingerprint import fingerprint

ALL_UP = Stakes(6, 6)
SETTLED = decisions.SETTLE_MS


def crash(board, content, upstream, at_ms, service="shop"):
    return board.apply(CrashReport(content, service, upstream, at_ms), at_ms)


def succeed(board, content, at_ms):
    return board.apply(CrashReport(content, "", "", at_ms), at_ms)


def verdict(board, content, now_ms, stakes=ALL_UP):
    return board.rule(content, "shop", stakes, now_ms).verdict


def test_one_crash_leads_to_a_trial_and_two_to_a_final_answer():
    board = CrashBoard()
    assert verdict(board, "p", 0) is Verdict.ORDINARY
    crash(board, "p", "i-1", 100)
    assert verdict(board, "p", 100) is Verdict.TRY_ALONE
    crash(board, "p", "i-2", 200)
    assert verdict(board, "p", 200) is Verdict.HOLD
    assert verdict(board, "p", 200 + SETTLED) is Verdict.CONDEMNED


def test_a_condemned_request_is_tried_again_and_served_once_the_fault_is_mended():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    crash(board, "p", "i-2", 100)
    due_ms = 100 + decisions.CONDEMNED_MS
    assert verdict(board, "p", due_ms - 1) is Verdict.CONDEMNED
    assert verdict(board, "p", due_ms) is Verdict.TRY_ALONE
    succeed(board, "p", due_ms + 30)
    assert verdict(board, "p", due_ms + 30) is Verdict.ORDINARY
    assert not board.reports()[1:]


def test_each_further_crash_doubles_the_time_to_the_next_trial():
    board = CrashBoard()
    for number, at_ms in enumerate((0, 100, 40_000)):
        crash(board, "p", f"i-{number}", at_ms)
    assert verdict(board, "p", 40_000 + 2 * decisions.CONDEMNED_MS - 1) is Verdict.CONDEMNED
    assert verdict(board, "p", 40_000 + 2 * decisions.CONDEMNED_MS) is Verdict.TRY_ALONE


def test_a_request_that_shared_both_crashes_with_another_is_not_condemned():
    board = CrashBoard()
    for upstream, at_ms in (("i-1", 0), ("i-2", 100)):
        crash(board, "p", upstream, at_ms)
        crash(board, "innocent", upstream, at_ms + 5)
    assert verdict(board, "innocent", 1_000) is Verdict.TRY_ALONE
    assert verdict(board, "p", 1_000) is Verdict.TRY_ALONE
    succeed(board, "innocent", 1_100)
    assert verdict(board, "p", 1_100) is Verdict.CONDEMNED


def test_two_crashes_do_not_condemn_while_servers_crash_by_themselves():
    board = CrashBoard()
    for number in range(decisions.STORM_CRASHES):
        crash(board, "", f"i-{number}", 0)
    crash(board, "innocent", "i-8", 50)
    crash(board, "innocent", "i-9", 150)
    assert verdict(board, "innocent", 150 + SETTLED) is Verdict.TRY_ALONE
    crash(board, "innocent", "i-7", 1_000)
    assert verdict(board, "innocent", 1_000 + SETTLED) is Verdict.CONDEMNED


def test_crashes_under_another_culprit_are_no_storm():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    crash(board, "p", "i-2", 100)
    crash(board, "q", "i-3", 200)
    crash(board, "q", "i-4", 300)
    assert verdict(board, "p", 300 + SETTLED) is Verdict.CONDEMNED
    assert verdict(board, "q", 300 + SETTLED) is Verdict.CONDEMNED


@pytest.mark.parametrize(
    ("listed", "up", "expected"),
    [
        (3, 2, Verdict.TRY_ALONE),
        (3, 1, Verdict.HOLD),
        (2, 2, Verdict.TRY_ALONE),
        (2, 1, Verdict.HOLD),
        (1, 1, Verdict.TRY_ALONE),
        (1, 0, Verdict.HOLD),
    ],
)
def test_a_trial_leaves_a_server(listed, up, expected):
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    assert verdict(board, "p", 100, Stakes(listed, up)) is expected


def test_servers_on_trial_count_as_at_stake():
    board = CrashBoard()
    for content in ("p", "q"):
        crash(board, content, "i-1", 0)
    board.begin_trial("p", "shop")
    assert verdict(board, "q", 10, Stakes(3, 2)) is Verdict.HOLD
    assert verdict(board, "p", 10, Stakes(3, 3)) is Verdict.HOLD
    board.end_trial("p")
    assert verdict(board, "q", 10, Stakes(3, 2)) is Verdict.TRY_ALONE


def test_reports_of_the_same_crash_count_once_and_those_of_a_restart_again():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    assert not crash(board, "p", "i-1", 400)
    assert verdict(board, "p", 2_000) is Verdict.TRY_ALONE
    crash(board, "p", "i-1", 4_000)
    assert verdict(board, "p", 4_000 + SETTLED) is Verdict.CONDEMNED


def test_late_reports_of_crashes_before_a_success_do_not_count():
    board = CrashBoard()
    succeed(board, "a", 1_000)
    assert not crash(board, "a", "i-1", 900)
    assert crash(board, "a", "i-1", 1_100)


def test_a_server_that_answers_after_its_crash_is_not_down():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    assert board.is_down("i-1", 100)
    board.record_alive("i-1")
    assert not board.is_down("i-1", 100)


def test_evidence_is_forgotten():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    crash(board, "p", "i-2", 0)
    board.evict(decisions.EVIDENCE_MS)
    assert not board.crashes and not board.by_content


def test_a_caller_that_varies_its_bodies_fills_no_memory_and_hides_no_culprit():
    board = CrashBoard()
    crash(board, "p", "i-1", 0)
    crash(board, "p", "i-2", 100)
    for number in range(3 * decisions.MAX_CRASHES):
        crash(board, f"varied {number}", f"v-{number}", 1_000 + number)
        succeed(board, f"other {number}", 1_000 + number)
    assert len(board.crashes) <= decisions.MAX_CRASHES
    assert len(board.by_content) <= decisions.MAX_CRASHES
    assert len(board.successes) <= decisions.MAX_SUCCESSES
    assert verdict(board, "p", 10_000) is Verdict.CONDEMNED


def test_a_replay_of_the_incident_costs_two_servers_of_six():
    """The culprit comes again every five seconds, twice each time, at one of many gateways."""
    rng = random.Random(3)
    boards = [CrashBoard() for _ in range(22)]
    down_until = {}
    started, worst = 0, 0
    for arrival in range(5_600, 60_000, 5_000):
        for at_ms in (arrival, arrival + 300):
            board = rng.choice(boards)
            for _attempt in range(3):
                up = [n for n in range(6) if down_until.get(n, (0, 0))[0] <= at_ms]
                ruling = board.rule("p", "shop", Stakes(6, len(up)), at_ms)
                if ruling.verdict in (Verdict.HOLD, Verdict.CONDEMNED):
                    break
                server = rng.choice(up)
                at_ms += 90
                started += 1
                down_until[server] = (at_ms + 3_300, started)
                # All others know when the call is answered.
                for each in boards:
                    crash(each, "p", f"i-{server}-{started}", at_ms)
            worst = max(
                worst, 6 - len([n for n in range(6) if down_until.get(n, (0,))[0] <= at_ms])
            )
    # Two at first, then one trial after half a minute.
    assert started == 3
    assert worst == 2


def test_a_fingerprint_tells_callers_paths_and_bodies_apart():
    one = fingerprint("POST", "h", "/a", [("Authorization", "x")], b"body")
    assert one == fingerprint("POST", "H", "/a", [("authorization", "x")], b"body")
    assert one == fingerprint(
        "POST", "h", "/a", [("traceparent", "1"), ("authorization", "x")], b"body"
    )
    others = {
        fingerprint("PUT", "h", "/a", [("Authorization", "x")], b"body"),
        fingerprint("POST", "g", "/a", [("Authorization", "x")], b"body"),
        fingerprint("POST", "h", "/b", [("Authorization", "x")], b"body"),
        fingerprint("POST", "h", "/a", [("Authorization", "y")], b"body"),
        fingerprint("POST", "h", "/a", [], b"body"),
        fingerprint("POST", "h", "/a", [("Authorization", "x")], b"other"),
        fingerprint("POST", "h", "/a", [("Authorization", "xb")], b"ody"),
    }
    assert len(others) == 7 and one not in others
