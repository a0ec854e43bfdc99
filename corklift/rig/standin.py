"""A stand-in in a process of its own: one transcriber, or discovery with an agent per balancer.

It writes what truly reached it as events, one line of JSON each on standard output, and reads
commands as lines of JSON on standard input. It ends when its input ends. It never asks a balancer
anything.
"""

from __future__ import annotations

import json
import os
import re
import sys
from typing import Any

from corklift.net.limits import MS, SECOND
from corklift.net.scheduler import READ, Scheduler, wall_clock
from corklift.net.stream import Stream
from corklift.standins.discovery import Discovery
from corklift.standins.transcriber import Transcriber

# How long a server rejects logins after it was overloaded.
OVERLOAD_DOWN_TIME = 3 * SECOND


class EventWriter:
    """Writes the events of a stand-in and reads the commands to it; owns its scheduler."""

    def __init__(self, source: str) -> None:
        self.scheduler = Scheduler(
            wall_clock(), lambda trace: self.write_event("exception", trace=trace)
        )
        self._source = source
        os.set_blocking(0, False)

    def write_event(self, event: str, **fields: Any) -> None:
        print(
            json.dumps(
                {"at_ns": self.scheduler.now(), "name": self._source, "event": event} | fields
            ),
            flush=True,
        )

    def commands(self) -> Any:
        """Yields each command as it arrives, until the input ends."""
        buffer = b""
        while True:
            self.scheduler.wait({0: READ})
            try:
                chunk = os.read(0, 1 << 16)
            except BlockingIOError:
                continue
            if not chunk:
                self.scheduler.stop()
                return
            *lines, buffer = (buffer + chunk).split(b"\n")
            yield from map(json.loads, lines)


class TranscriberProcess(Transcriber):
    """A transcriber that on command rejects logins, stops answering, or becomes cold.

    A cold server that gets too many logins is overloaded and rejects logins for a while. The model
    is the one of the lab: it works set-ups off at `multiple` times the rate at which it warms up,
    and is overloaded when a span's worth of them is queued (docs/design/lab.md).
    """

    def __init__(self, events: EventWriter, name: str, size: float, cold: dict[str, Any]) -> None:
        super().__init__(
            events.scheduler, name, size, lambda placed: None, int(cold["ramp_ms"]) * MS
        )
        self._events, self._cold = events, cold
        self.started_at = 0
        self._queued, self._queued_at = 0.0, 0
        self._second = self._probes = 0

    def _on_placed(self, login: str, by: str, what: str) -> None:
        self._events.write_event("placed", server=self.name, client=login, what=what)
        now = self._scheduler.now()
        age = now - self.started_at
        if age >= self.ramp:
            return
        warm_share = self._cold["start_share"] + (1 - self._cold["start_share"]) * age / self.ramp
        setup_rate = self._cold["multiple"] * warm_share * self.size * SECOND / self.ramp
        self._queued = max(0.0, self._queued - setup_rate * (now - self._queued_at) / SECOND) + 1.0
        self._queued_at = now
        if self._queued > max(1.0, setup_rate * self._cold["span_ms"] * MS / SECOND):
            self._events.write_event(
                "fell",
                server=self.name,
                queued=round(self._queued, 1),
                bears_s=round(setup_rate, 2),
            )
            self.fails, self._queued = True, 0.0
            self._scheduler.spawn(self._recover)

    def _recover(self) -> None:
        self._scheduler.sleep(OVERLOAD_DOWN_TIME)
        self.fails = False
        self.started_at = self._scheduler.now()

    def _on_login(self) -> None:
        while self.silent:
            self._scheduler.sleep(SECOND // 10)

    def _on_probe(self) -> None:
        second = self._scheduler.now() // SECOND
        if second != self._second:
            if self._probes:
                # The number of the second before.
                self._events.write_event("probes", server=self.name, number=self._probes)
            self._second, self._probes = second, 0
        self._probes += 1

    def _on_rejected(self, login: str) -> None:
        self._events.write_event("turned away", server=self.name, login=login)

    def _on_closed(self, login: str) -> None:
        self._events.write_event("ended", server=self.name, client=login)


def run_transcriber(name: str, settings: dict[str, Any]) -> None:
    """Runs a transcriber until its input ends."""
    events = EventWriter(name)
    transcriber = TranscriberProcess(events, name, settings["size"], settings["cold"])
    port = transcriber.listen()
    events.write_event("listens", port=port)

    def follow_commands() -> None:
        for command in events.commands():
            if "fails" in command:
                transcriber.fails = command["fails"]
            if "silent" in command:
                transcriber.silent = command["silent"]
            if command.get("cold"):
                transcriber.started_at = events.scheduler.now()

    events.scheduler.spawn(transcriber.accept_loop)
    events.scheduler.spawn(follow_commands)
    events.scheduler.run()


class DiscoveryAgent(Discovery):
    """The agent of discovery on one balancer's machine."""

    def __init__(self, events: EventWriter, balancer: str) -> None:
        super().__init__(events.scheduler)
        self._events, self._balancer, self._received_index = events, balancer, -1
        self.refuses = False
        self._saved: tuple[int, dict[str, Any]] = (0, {})

    def save(self) -> None:
        self._saved = self.index, {name: dict(entry) for name, entry in self.entries.items()}

    def restore(self) -> None:
        """Returns to the saved list, as after a restart with old data."""
        self.index, entries = self._saved
        self.entries = {name: dict(entry) for name, entry in entries.items()}
        self._received_index = min(self._received_index, self.index)

    def _respond(self, stream: Stream, request: re.Match[bytes]) -> bool:
        index = int(request[1]) if request[1] is not None else -1
        self._events.write_event("called", balancer=self._balancer)
        if index > self._received_index:
            # A balancer that asks for changes since an index has received the list of that index.
            self._received_index = index
            self._events.write_event("has", balancer=self._balancer, index=index)
        return super()._respond(stream, request)


def run_discovery(settings: dict[str, Any]) -> None:
    """Runs discovery with an agent for each balancer until its input ends."""
    events = EventWriter("discovery")
    agents = {name: DiscoveryAgent(events, name) for name in settings["balancers"]}
    events.write_event("listens", ports={name: agent.listen() for name, agent in agents.items()})

    def follow_commands() -> None:
        for command in events.commands():
            for name, agent in agents.items():
                if "put" in command:
                    host, _, port = command["addresses"][name].rpartition(":")
                    agent.put(
                        command["put"], (host, int(port)), since_ms=command.get("since_ms", 0)
                    )
                if "mark" in command:
                    agent.set_status(command["mark"], command["status"])
                if command.get("save"):
                    agent.save()
                if command.get("restore"):
                    agent.restore()
                if "silent" in command and name in command.get("at", agents):
                    agent.silent = command["silent"]
            index = max(agent.index for agent in agents.values())
            if "put" in command or "mark" in command:
                events.write_event(
                    "listed",
                    server=command.get("put") or command["mark"],
                    status=command.get("status", "active"),
                    index=index,
                )

    for agent in agents.values():
        events.scheduler.spawn(agent.accept_loop)
    events.scheduler.spawn(follow_commands)
    events.scheduler.run()


if __name__ == "__main__":
    kind, name, settings_text = sys.argv[1:4]
    if kind == "server":
        run_transcriber(name, json.loads(settings_text))
    else:
        run_discovery(json.loads(settings_text))
