"""Guards against lost servers and false verdicts by random interleavings of calls and crashes."""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from machine_runs import run_variant

from pistachionotch.quarantine import board as decisions
from pistachionotch.quarantine.board import CrashBoard, CrashReport, Stakes, Verdict

SERVICE = "s"
SERVERS = 4
GATEWAYS = 3
DEADLY = "deadly"
CALLS = (DEADLY, "a", "b")
RECOVERY_MS = 3_000


class QuarantineMachine(RuleBasedStateMachine):
    """Gateways send calls to servers; the deadly one ends each server that runs it.

    The oracle knows which crashes had which calls in flight, and what has been served since.
    """

    @initialize()
    def start(self):
        self.now_ms = 0
        self.rng = random.Random(1)
        self.boards = [CrashBoard() for _ in range(GATEWAYS)]
        self.down_until = [0] * SERVERS
        self.starts = [0] * SERVERS
        # Calls in flight by server, each with its gateway and whether it is a trial.
        self.running = [[] for _ in range(SERVERS)]
        self.own_crashes = 0
        # Reports that have not reached a gateway yet.
        self.mail = [[] for _ in range(GATEWAYS)]
        self.crashes = {call: 0 for call in CALLS}

    def up(self):
        return [n for n in range(SERVERS) if self.down_until[n] <= self.now_ms]

    def name(self, server):
        return f"i-{server}@{self.starts[server]}"

    @rule(gateway=st.integers(0, GATEWAYS - 1), call=st.sampled_from(CALLS), pick=st.integers(0, 9))
    def send(self, gateway, call, pick):
        board = self.boards[gateway]
        up = self.up()
        ruling = board.rule(call, SERVICE, Stakes(SERVERS, len(up)), self.now_ms)
        if ruling.verdict is Verdict.CONDEMNED:
            assert self.crashes[call] >= decisions.CRASHES_TO_CONDEMN, "condemned without cause"
            return
        if ruling.verdict is Verdict.HOLD or not up:
            return
        server = up[pick % len(up)]
        trial = ruling.verdict is Verdict.TRY_ALONE
        if trial:
            board.begin_trial(call, SERVICE)
        self.running[server].append((gateway, call, trial))

    def report(self, gateway, report):
        self.boards[gateway].apply(report, self.now_ms)
        for other in range(GATEWAYS):
            if other != gateway:
                self.mail[other].append(report)

    def end_server(self, server):
        for gateway, call, trial in self.running[server]:
            if trial:
                self.boards[gateway].end_trial(call)
            self.crashes[call] += 1
            self.report(gateway, CrashReport(call, SERVICE, self.name(server), self.now_ms))
        self.running[server] = []
        self.down_until[server] = self.now_ms + RECOVERY_MS
        self.starts[server] += 1

    @rule(server=st.integers(0, SERVERS - 1))
    def finish(self, server):
        """End the runs of a server: they are served, unless the deadly one is among them."""
        runs = self.running[server]
        if any(call == DEADLY for _gateway, call, _trial in runs):
            self.end_server(server)
            return
        for gateway, call, trial in runs:
            board = self.boards[gateway]
            if trial:
                board.end_trial(call)
            if board.is_suspect(call):
                self.report(gateway, CrashReport(call, "", "", self.now_ms))
                assert not board.is_suspect(call)
            self.crashes[call] = 0
        self.running[server] = []

    @rule(server=st.integers(0, SERVERS - 1))
    def crash_by_itself(self, server):
        if server in self.up():
            self.end_server(server)

    @rule(gateway=st.integers(0, GATEWAYS - 1), seed=st.integers(0, 3))
    def deliver(self, gateway, seed):
        """Deliver reports late and in any order."""
        mail = self.mail[gateway]
        random.Random(seed).shuffle(mail)
        for report in mail:
            self.boards[gateway].apply(report, self.now_ms)
        mail.clear()

    @rule(gateway=st.integers(0, GATEWAYS - 1))
    def restart(self, gateway):
        """Lose a gateway with its calls; the new one compares its state with another one."""
        for runs in self.running:
            runs[:] = [run for run in runs if run[0] != gateway]
        self.boards[gateway] = CrashBoard()
        for report in self.boards[(gateway + 1) % GATEWAYS].reports():
            self.boards[gateway].apply(report, self.now_ms)

    @rule(ms=st.sampled_from((10, 100, 500, 3_000, 31_000)))
    def wait(self, ms):
        self.now_ms += ms

    @precondition(lambda self: all(not mail for mail in self.mail))
    @rule()
    def judge_alike(self):
        """Gateways that know the same give the same verdict, whatever the order of reports."""
        if len({frozenset(each.reports()) for each in self.boards}) > 1:
            return
        for call in CALLS:
            # A gateway's own trials are its own affair.
            rulings = {
                board.rule(call, SERVICE, Stakes(SERVERS, SERVERS), self.now_ms).verdict
                for board in self.boards
                if not board.trials
            }
            assert len(rulings) <= 1

    @rule()
    def forget(self):
        for board in self.boards:
            board.evict(self.now_ms)

    @invariant()
    def consistent(self):
        for board in getattr(self, "boards", ()):
            for content, crashes in board.by_content.items():
                assert crashes
                assert all(content in crash.contents for crash in crashes)
            for crashes in board.crashes.values():
                for crash in crashes:
                    assert all(crash in board.by_content[each] for each in crash.contents)


class HastyBoard(CrashBoard):
    """Condemns whatever was in flight at one crash."""

    def rule(self, content, service, stakes, now_ms):
        ruling = super().rule(content, service, stakes, now_ms)
        if ruling.crashes:
            return decisions.Ruling(Verdict.CONDEMNED, "", ruling.crashes)
        return ruling


class HastyMachine(QuarantineMachine):
    @initialize()
    def start(self):
        super().start()
        self.boards = [HastyBoard() for _ in range(GATEWAYS)]


def test_no_interleaving_condemns_without_two_crashes_since_the_last_success():
    run_variant(QuarantineMachine, {}, 200, 50)


def test_the_machine_finds_hasty_verdicts():
    try:
        run_variant(HastyMachine, {}, 200, 50)
    except AssertionError:
        return
    raise AssertionError("the machine missed the fault")
