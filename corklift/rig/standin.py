"""A stand-in in a process of its own: one transcriber, or discovery with an agent for each balancer.

Owns what truly arrived: events are JSON lines on standard output, words to it are JSON lines on standard input. Ends with its
input. Must never import or ask a balancer.
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

OVERLOAD_DOWN_TIME = 3 * SECOND  # that a server which was pushed over is away


class EventWriter:
    """Lines out, words in."""

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
        """Each word that comes in, as it comes; ends with the input."""
        held = b""
        while True:
            self.scheduler.wait({0: READ})
            try:
                content = os.read(0, 1 << 16)
            except BlockingIOError:
                continue
            if not content:
                self.scheduler.stop()
                return
            *lines, held = (held + content).split(b"\n")
            yield from map(json.loads, lines)


class TranscriberProcess(Transcriber):
    """Told to, it turns all away, is mute, or starts anew and cold. Pushed over while it is cold, it falls.

    What a cold one bears is the lab's model: it works set-ups off at the multiple of the rate at which it warms, and falls when a
    span's worth of them is queued (docs/design/lab.md)."""

    def __init__(self, told: EventWriter, name: str, size: float, cold: dict[str, Any]) -> None:
        super().__init__(told.scheduler, name, size, lambda placed: None, int(cold["ramp_ms"]) * MS)
        self._events, self._cold = told, cold
        self.started_at = 0
        self._queued, self._queued_at = 0.0, 0
        self._second = self._probes = 0

    def _on_placed(self, login: str, by: str, what: str) -> None:
        self._events.write_event("placed", server=self.name, client=login, what=what)
        now = self._scheduler.now()
        age = now - self.started_at
        if age >= self.ramp:
            return
        share = self._cold["start_share"] + (1 - self._cold["start_share"]) * age / self.ramp
        bears = self._cold["multiple"] * share * self.size * SECOND / self.ramp
        self._queued = max(0.0, self._queued - bears * (now - self._queued_at) / SECOND) + 1.0
        self._queued_at = now
        if self._queued > max(1.0, bears * self._cold["span_ms"] * MS / SECOND):
            self._events.write_event(
                "fell", server=self.name, queued=round(self._queued, 1), bears_s=round(bears, 2)
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
                self._events.write_event(
                    "probes", server=self.name, number=self._probes
                )  # in the second before
            self._second, self._probes = second, 0
        self._probes += 1

    def _on_rejected(self, login: str) -> None:
        self._events.write_event("turned away", server=self.name, login=login)

    def _on_closed(self, login: str) -> None:
        self._events.write_event("ended", server=self.name, client=login)


def server(name: str, given: dict[str, Any]) -> None:
    told = EventWriter(name)
    standing = TranscriberProcess(told, name, given["size"], given["cold"])
    port = standing.listen()
    told.write_event("listens", port=port)

    def hear() -> None:
        for word in told.commands():
            if "fails" in word:
                standing.fails = word["fails"]
            if "silent" in word:
                standing.silent = word["silent"]
            if word.get("cold"):
                standing.started_at = told.scheduler.now()

    told.scheduler.spawn(standing.accept_loop)
    told.scheduler.spawn(hear)
    told.scheduler.run()


class DiscoveryAgent(Discovery):
    """Discovery's agent on one balancer's machine."""

    def __init__(self, told: EventWriter, balancer: str) -> None:
        super().__init__(told.scheduler)
        self._events, self._balancer, self._has = told, balancer, -1
        self.refuses = False
        self._saved: tuple[int, dict[str, Any]] = (0, {})

    def save(self) -> None:
        self._saved = self.index, {name: dict(entry) for name, entry in self.entries.items()}

    def restore(self) -> None:
        """It is back with a list of before."""
        self.index, saved = self._saved
        self.entries = {name: dict(entry) for name, entry in saved.items()}
        self._has = min(self._has, self.index)

    def _respond(self, stream: Stream, found: re.Match[bytes]) -> bool:
        index = int(found[1]) if found[1] is not None else -1
        self._events.write_event("called", balancer=self._balancer)
        if index > self._has:
            # It asks for what is newer: what it asks from has come there.
            self._has = index
            self._events.write_event("has", balancer=self._balancer, index=index)
        return super()._respond(stream, found)


def discovery(given: dict[str, Any]) -> None:
    told = EventWriter("discovery")
    agents = {name: DiscoveryAgent(told, name) for name in given["balancers"]}
    told.write_event("listens", ports={name: agent.listen() for name, agent in agents.items()})

    def hear() -> None:
        for word in told.commands():
            for name, agent in agents.items():
                if "put" in word:
                    host, _, port = word["addresses"][name].rpartition(":")
                    agent.put(word["put"], (host, int(port)), since_ms=word.get("since_ms", 0))
                if "mark" in word:
                    agent.set_status(word["mark"], word["status"])
                if word.get("save"):
                    agent.save()
                if word.get("restore"):
                    agent.restore()
                if "silent" in word and name in word.get("at", agents):
                    agent.silent = word["silent"]
            index = max(agent.index for agent in agents.values())
            if "put" in word or "mark" in word:
                told.write_event(
                    "listed",
                    server=word.get("put") or word["mark"],
                    status=word.get("status", "active"),
                    index=index,
                )

    for agent in agents.values():
        told.scheduler.spawn(agent.accept_loop)
    told.scheduler.spawn(hear)
    told.scheduler.run()


if __name__ == "__main__":
    kind, name, given_text = sys.argv[1:4]
    if kind == "server":
        server(name, json.loads(given_text))
    else:
        discovery(json.loads(given_text))
