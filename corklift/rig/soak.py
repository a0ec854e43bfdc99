"""Soak runs: restarts, signals in series, crowds and failing servers, all drawn from a seed.

A run plays real processes of `run` or of `serve`. Clients go on using their open connections until
the balancer ends them, and the kill after a SIGTERM comes at its earliest, as the operators'
protocol has it. The checks are in `soak_checks`.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import tomllib
from random import Random
from typing import NamedTuple

from corklift.net.limits import MS, SECOND
from corklift.net.scheduler import READ
from corklift.net.stream import Stream
from corklift.rig.clients import CLIENT_TIME_LIMIT, ClientLoad
from corklift.rig.fleet import CLIENT_PORT, ManagedProcess, Rig, Shape
from corklift.rig.links import NO_FAULT, Fault
from corklift.standins.client import connect

# A planned restart: how long new connections go on coming after SIGTERM, in seconds, ...
ADMIT_SECONDS = (0.2, 0.4)
# ... and when SIGKILL comes: the longest time limit of a login, 3 s at most, and 0.7 s more.
KILL_TIME = CLIENT_TIME_LIMIT + 700 * MS
# Interval of a client's lines on its connection.
LINE_INTERVAL = 300 * MS
# Share of the runs that play `serve`, and of those that have a crowd.
SERVE_SHARE, CROWD_SHARE = 0.34, 0.34
# Idle clients of a crowd beyond the number of a balancer's sockets.
CROWD_EXCESS = 60
# Pause before an idle client that was closed connects again.
CROWD_PAUSE = 200 * MS
# Signals that accompany a SIGTERM.
SIDE_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)
# How long the processes get to release what the last clients used, before they are measured.
SETTLE_SECONDS = 3.0


class SignalStep(NamedTuple):
    """A signal, sent `after_s` seconds after the one before it."""

    after_s: float
    number: int


class RestartPlan(NamedTuple):
    """A planned restart of a balancer at a time in seconds, and the signals around its SIGTERM."""

    at_s: float
    balancer: str
    before: tuple[SignalStep, ...]
    after: tuple[SignalStep, ...]
    admit_s: float


class TroublePlan(NamedTuple):
    """A disruption of a server or of discovery that lasts for a time."""

    at_s: float
    kind: str
    who: str
    for_s: float


class SoakPlan(NamedTuple):
    """All that a run is drawn from its seed."""

    seed: int
    seconds: float
    program: str
    crowd_at: str  # the balancer whose descriptors a crowd fills; empty: none
    restarts: tuple[RestartPlan, ...]
    troubles: tuple[TroublePlan, ...]

    @classmethod
    def generate(cls, seed: int, seconds: float, balancers: int = 3, servers: int = 4) -> SoakPlan:
        """Draws a plan; the same seed and duration give the same plan."""
        rng = Random(f"soak {seed}")
        names = [f"b{number}" for number in range(1, balancers + 1)]
        server_names = [f"s-{number:08x}" for number in range(1, servers + 1)]
        program = "serve" if rng.random() < SERVE_SHARE else "run"
        crowd_at = rng.choice(names) if rng.random() < CROWD_SHARE else ""
        # Restarts that overlap leave at least one balancer.
        last_start = seconds - KILL_TIME / SECOND - 2.0
        first = rng.uniform(1.0, max(1.1, last_start - 5.0))
        restarts = tuple(
            _draw_restart(rng, min(last_start, first + rng.choice((0.0, 1.0, 4.0, 6.0))), name)
            for name in rng.sample(names, max(1, balancers - 1))
        )
        troubles = tuple(
            TroublePlan(
                rng.uniform(0.5, last_start),
                kind,
                "discovery" if kind.startswith("discovery") else rng.choice(server_names),
                rng.uniform(1.0, 4.0),
            )
            for kind in rng.sample(
                ("hang", "reset", "drain", "discovery silent", "discovery slow"), rng.randint(1, 3)
            )
        )
        return cls(seed, seconds, program, crowd_at, restarts, troubles)

    def shape(self) -> Shape:
        return Shape(
            balancers=3,
            servers=4,
            rate=25.0,
            hold_s=5.0,
            sockets=300,
            peers=self.program == "serve",
            seed=self.seed,
        )


def _draw_restart(rng: Random, at_s: float, balancer: str) -> RestartPlan:
    def draw_steps(
        most: int, gaps: tuple[float, ...], numbers: tuple[int, ...]
    ) -> list[SignalStep]:
        return [
            SignalStep(rng.choice(gaps), rng.choice(numbers)) for _ in range(rng.randint(0, most))
        ]

    before = draw_steps(4, (0.0, 0.001, 0.01, 0.2), (signal.SIGHUP, signal.SIGUSR1))
    after = draw_steps(4, (0.0, 0.001, 0.05, 0.5, 1.5), SIDE_SIGNALS)
    return RestartPlan(at_s, balancer, tuple(before), tuple(after), rng.uniform(*ADMIT_SECONDS))


class TalkingClients(ClientLoad):
    """Clients that connect directly and send lines on their connections until these end."""

    def connect(self, balancer: str, deadline: int) -> Stream | None:
        return connect(self._scheduler, (self.rig.hosts[balancer], CLIENT_PORT), deadline)

    def hold(
        self, stream: Stream, login: str, balancer: str, response: bytes, ends_at: int
    ) -> None:
        last_line, next_line_at = response, self._scheduler.now()
        while not stream.peer_closed and not stream.broken:
            now = self._scheduler.now()
            if now >= ends_at or not self.rig.accepting_clients:
                break
            if now >= next_line_at:
                stream.write(b"say something\r\n")
                next_line_at = now + LINE_INTERVAL
            self._scheduler.wait({stream.fd: READ}, min(ends_at, next_line_at))
            stream.receive()
            while (line := stream.read_line()) is not None:
                if line.startswith((b"UP", b"BUSY", b"ERR")):
                    self._record_more(login, line)
                last_line = line
        self.rig.record(
            "closed",
            "client",
            login=login,
            by="balancer" if stream.peer_closed or stream.broken else "client",
            balancer=balancer,
            server=response.split()[1].decode("ascii", "replace"),
            last=last_line.strip().decode("ascii", "replace"),
            half_line=len(stream.receive_buffer) > 0,
            reset=stream.broken,
        )


class SoakRig(Rig):
    """A rig that plays the plan of a soak run."""

    def __init__(self, plan: SoakPlan, mutants: dict[str, str] | None = None) -> None:
        super().__init__(plan.shape(), mutants)
        self.plan = plan
        self._crowded = False

    def make_clients(self) -> ClientLoad:
        return TalkingClients(self)

    def make_balancer(self, name: str, mutants: list[str], path: str) -> ManagedProcess:
        if self.plan.program == "serve":
            return super().make_balancer(name, mutants, path)
        command = ["corklift.rig.mutants", ",".join(mutants)] if mutants else ["corklift"]
        return ManagedProcess(
            name,
            [sys.executable, "-m", *command],
            self._folder,
            environment={"BALANCER_CONFIG": path.replace(".toml", ".json")},
        )

    def write_files(self, name: str) -> None:
        super().write_files(name)
        path = os.path.join(self._folder, f"{name}.toml")
        with open(path, "rb") as file:
            config = tomllib.load(file)["balancer"]
        config = {"known": {"index": 0, "snapshot": True, "endpoints": []}} | config
        with open(path.replace(".toml", ".json"), "w", encoding="utf-8") as file:
            json.dump(config, file)

    def conduct(self) -> None:
        """Plays the plan; afterwards all clients leave and the processes are measured."""
        began = self.scheduler.now()
        self.sleep(0.5)
        self._record_resources("start")
        running = [
            *(self.scheduler.spawn(self._restart_as_planned, plan) for plan in self.plan.restarts),
            *(self.scheduler.spawn(self._play_trouble, plan) for plan in self.plan.troubles),
        ]
        if self.plan.crowd_at:
            self._crowded = True
            for _ in range(self.shape.sockets + CROWD_EXCESS):
                self.scheduler.spawn(self._idle_client, self.plan.crowd_at)
        self.wait_until(
            lambda: (
                self.scheduler.now() >= began + int(self.plan.seconds * SECOND)
                and all(task.done for task in running)
            ),
            self.plan.seconds + 60.0,
            "the plan was played",
        )
        self.accepting_clients = self._crowded = False
        self.sleep(SETTLE_SECONDS)
        self._record_resources("end")
        self.record("finish")

    def _record_resources(self, moment: str) -> None:
        for name in self.balancers:
            memory, descriptors = self.resources(name)
            self.record(
                "resources",
                moment=moment,
                who=name,
                memory_kb=memory,
                descriptors=descriptors,
                start=len(self.events_from("rig", "started", who=name)),
            )

    # Planned restarts

    def _restart_as_planned(self, plan: RestartPlan) -> None:
        self.sleep(plan.at_s)
        name = plan.balancer
        self.wait_until(lambda: name in self.serving, what=f"{name} serves")
        for step in plan.before:
            self.sleep(step.after_s)
            self._send_signal(name, step.number)
        told_at = self.scheduler.now()
        self.record("told to stop", who=[name])
        self.balancers[name].signal(signal.SIGTERM)
        self.scheduler.spawn(self._stop_admitting, name, plan.admit_s)
        for step in plan.after:
            self.sleep(step.after_s)
            self._send_signal(name, step.number)
        self.scheduler.sleep(max(0, told_at + KILL_TIME - self.scheduler.now()))
        if self.balancers[name].alive:
            self.record("kill", who=name)
            self.balancers[name].signal(signal.SIGKILL)
        self.restart(name)
        self.wait_until(lambda: name in self.serving, what=f"{name} serves again")

    def _stop_admitting(self, name: str, admit_s: float) -> None:
        self.sleep(admit_s)
        self.serving.discard(name)

    def _send_signal(self, name: str, number: int) -> None:
        """Sends a signal if the process still runs; a SIGHUP finds a file that has changed."""
        if number == signal.SIGHUP:
            self._change_configuration(name)
        self.record("signal", who=name, number=int(number))
        self.balancers[name].signal(number)

    def _change_configuration(self, name: str) -> None:
        """Writes a file with another limit, or in one of three cases one that is not whole."""
        self.write_files(name)
        path = os.path.join(self._folder, f"{name}.toml")
        if self.plan.program == "run":
            path = path.replace(".toml", ".json")
        with open(path, encoding="utf-8") as file:
            text = file.read()
        choice = self.rng.randrange(3)
        if choice == 0:
            text = text[: len(text) // 2]
        elif choice == 1:
            text = text.replace('"retry-after": true', '"retry-after": false')
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)

    # Disruptions

    def _play_trouble(self, plan: TroublePlan) -> None:
        self.sleep(plan.at_s)
        if plan.kind == "hang":
            self.record_fault("hang", [plan.who])
            self.suspend(plan.who)
            self.sleep(plan.for_s)
            self.resume(plan.who)
            self.record("over", kind="hang", who=[plan.who])
        elif plan.kind == "reset":
            self.kill(plan.who)
            self.sleep(plan.for_s)
            self.start_server(plan.who, listed=True)
        elif plan.kind == "drain":
            self.mark_leaving(plan.who)
            self.sleep(plan.for_s)
            self.list_server(plan.who)
        elif plan.kind == "discovery silent":
            self.send_command("discovery", silent=True)
            self.sleep(plan.for_s)
            self.send_command("discovery", silent=False)
        else:
            pairs = [(name, "discovery") for name in self.hosts]
            self.apply_fault(pairs, Fault(delay=500 * MS, spread=500 * MS))
            self.sleep(plan.for_s)
            self.apply_fault(pairs, NO_FAULT)

    def _idle_client(self, balancer: str) -> None:
        """Connects, sends nothing, and connects again whenever it is closed."""
        while self._crowded:
            address = self.hosts[balancer], CLIENT_PORT
            stream = connect(self.scheduler, address, self.scheduler.now() + SECOND)
            if stream is not None:
                while self._crowded and not stream.peer_closed and not stream.broken:
                    self.scheduler.wait({stream.fd: READ}, self.scheduler.now() + SECOND)
                    stream.receive()
                stream.close()
            self.scheduler.sleep(CROWD_PAUSE)


def run_soak(seed: int, seconds: float, mutants: dict[str, str] | None = None) -> SoakRig:
    """Plays the run of a seed and returns its rig."""
    rig = SoakRig(SoakPlan.generate(seed, seconds), mutants)
    rig.run(lambda _: rig.conduct())
    return rig
