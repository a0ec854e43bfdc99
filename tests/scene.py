"""A Host that prints what the decisions do, one short line each, and small helpers to set a scene."""

from __future__ import annotations

from pathlib import Path
from random import Random

from corklift.interface import ColdRule, Listed, Login, Outcome, Report, Scope, Status, Workload
from corklift.policy import Balancer

MS = 1_000_000
TRACES = Path(__file__).parent / "traces"
QUIET = ("timer",)


class Scene:
    def __init__(self, seed: int = 7, **settings) -> None:
        self.now = 1_000 * MS
        self.lines: list[str] = []
        self.sent: list[tuple[int, int]] = []
        self.timers: list[tuple[int, int]] = []
        self.auto: dict[int, Report | Outcome] = {}
        self.asked: list[int] = []
        defaults = dict(
            zone=0, balancers=2, workloads=[Workload("plain", 1.0, 800 * MS, 3200 * MS)], per_work=False,
            cold=ColdRule(0.3, 9000 * MS, 3.0, 1000 * MS), max_hand_offs=4,
            cancel_allowed=True, max_retry_after=0, probes_allowed=True, ask_for_list=False,
            ask_within=10_000 * MS, grouped=False, weight_varies=False, memory=0,
            crossing_price=0.0, probe_price=0.0)
        self.balancer = Balancer(self, Random(seed), now=self.now, **(defaults | settings))

    # Host

    def hand_off(self, login, server, cut_at):
        self.sent.append((login, server))
        self._say(f"hand off {login} to {server}, cut after {(cut_at - self.now) // MS} ms")

    def cancel(self, login, attempt):
        self._say(f"cancel {login}.{attempt}")

    def bounce(self, login, retry_in):
        self._say(f"bounce {login}" + (f", back in {retry_in // MS} ms" if retry_in else ""))

    def terminate(self, login):
        self._say(f"terminate {login}")

    def move(self, login):
        self._say(f"move {login}")

    def probe(self, server):
        self.asked.append(server)

    def close_idle(self, server):
        self._say(f"close idle {server}")

    def set_timer(self, after, mark):
        self.timers.append((self.now + after, mark))

    def watch_list(self, wanted):
        self._say(f"watch list {wanted}")

    def fetch_list(self):
        self._say("fetch list")

    def tell(self, peer, content):
        self._say(f"tell {peer}")

    def log(self, text):
        self._say(f"log: {text}")

    # Helpers

    def _say(self, text: str) -> None:
        self.lines.append(f"{self.now // MS - 1000:>6} {text}")

    def note(self, text: str) -> None:
        self.lines.append(f"# {text}")

    def listed(self, *servers, scope=Scope.FULL, status=Status.READY, zone=0, cell=0, started_at=0):
        self.balancer.servers_listed(
            self.now, scope, 1, tuple(Listed(s, zone, 0, cell, status, 1.0, started_at) for s in servers))

    def run(self, ms: int) -> None:
        """Lets time pass: due timers fire, and probes get the answer held for their server in `auto`."""
        end = self.now + ms * MS
        while True:
            due = min(self.timers, default=None)
            if due is None or due[0] > end:
                break
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.balancer.timer_due(self.now, due[1])
            while self.asked:
                server = self.asked.pop(0)
                answer = self.auto.get(server)
                if isinstance(answer, Report):
                    self.balancer.probe_answered(self.now, server, MS, Outcome.FULFILLED, answer)
                elif answer is not None:
                    self.balancer.probe_answered(self.now, server, 250 * MS, answer, None)
        self.now = end

    def login(self, number: int, **fields) -> int | None:
        """A login arrives; returns the server that it was handed to."""
        plain = dict(workload=0, tenant=0, subject=0, time_limit_at=self.now + 3200 * MS, cost=None, group=0)
        self.balancer.login_arrived(self.now, Login(login=number, **(plain | fields)))
        return self.sent[-1][1] if self.sent and self.sent[-1][0] == number else None

    def ends(self, number: int, outcome: Outcome, attempt: int = 0, closed: bool = False) -> None:
        server = [s for login, s in self.sent if login == number][attempt]
        self._say(f"  ({number}.{attempt} at {server}: {outcome.value})")
        self.balancer.hand_off_ended(self.now, number, closed, server, outcome, attempt, MS, None)

    def stands(self, number: int, attempt: int = 0) -> None:
        server = [s for login, s in self.sent if login == number][attempt]
        self.balancer.hand_off_started(self.now, number, attempt, server, MS)

    def check(self, name: str) -> None:
        """The trace must equal the one kept; a missing trace is written down and fails, to be read first."""
        text = "\n".join(self.lines) + "\n"
        kept = TRACES / f"{name}.txt"
        if not kept.exists():
            kept.parent.mkdir(exist_ok=True)
            kept.write_text(text)
            raise AssertionError(f"new trace {kept.name}: read it, then run again")
        assert text == kept.read_text()
