"""Keeps this process in step with the others of its balancer: who takes clients, and who is out by operators' word.

Owns this process's place among them. Must never take clients beside another one that does, wait for another process with
a client at hand, or answer an operator before the word is written where the next process finds it.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from corklift.handover import Handover, ProcessState, Stage
from corklift.net.facade import Facade
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import Counters, Limits
from corklift.net.relay import Relay
from corklift.net.scheduler import Scheduler


class HandoverDriver:
    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        log: Callable[[str], None],
        facade: Facade,
        relay: Relay,
        path: str | None,
        shares: bool,
    ) -> None:
        """`path`: where the processes meet, if anywhere; `shares`: whether the clients' socket is shared with them."""
        self._scheduler, self._limits, self._counters, self._log = scheduler, limits, counters, log
        self._facade, self._relay, self._path, self._shares = facade, relay, path, shares
        self._files: HandoverFiles | None = None
        self._place = Handover(0)
        self._yielded = False  # what this process has learned is told
        self._held = 0  # as last told
        self._ended: dict[
            tuple[int, int], float
        ] = {}  # by process and server, what earlier ones have told of it
        self._followed: set[int] = set()  # processes whose learning has been taken over
        self._others_live = True  # until a look has shown it
        self.overrides_stored_elsewhere = (
            False  # operators' words are kept by another part, which knows better
        )

    @property
    def is_serving(self) -> bool:
        return not self._shares or self._place.stage in (Stage.SERVING, Stage.YIELDED)

    def join(self) -> None:
        """Takes in what earlier processes were told, before any login."""
        if not (self._shares or self._path and os.path.isdir(self._path)) or not self._enter():
            if self._shares:
                # Guards against a door that nobody opens, where the system gives the processes no place to meet.
                self._shares = False  # alone, as far as can be known
                self._relay.set_accepting(True)
            return
        living, ended = self._files.others()
        self._take_words(living + ended)
        self._tell()
        self._files.forget(ended)

    def poll_loop(self) -> None:
        """Where the clients' socket is shared: follows an earlier process, and yields to a later one."""
        while self._shares and self._files is not None:
            try:
                self._look()
            except OSError as problem:
                # Guards against a folder that is taken away under it: clients are served all the same.
                if not self._counters["looks at other processes that failed"]:
                    self._log(f"other processes of this balancer can't be looked at: {problem}")
                self._counters["looks at other processes that failed"] += 1
            self._scheduler.sleep(self._limits.look_pause)

    def take_out_of_service(self, name: str) -> bool:
        if not self._facade.take_out_of_service(name):
            return False
        self._say(name, True)
        return True

    def restore_to_service(self, name: str) -> bool:
        if not self._facade.restore_to_service(name):
            return False
        if name in self._place.servers_out_of_service():
            self._say(name, False)
        return True

    def leave(self) -> None:
        """Told to stop: whoever follows need not wait for this one."""
        self._place.leave()
        if self._shares and self._files is not None:
            self._relay.set_accepting(False)
            self._tell()

    # Within

    def _enter(self) -> bool:
        if self._files is None and self._path is not None:
            try:
                self._files = HandoverFiles(self._path, self._log)
                stage, words = self._place.stage, self._place.overrides
                self._place = Handover(self._files.generation)
                self._place.stage, self._place.overrides = stage, words
            except OSError as problem:
                self._path = None
                self._log(f"words of operators end with this process: {problem}")
        return self._files is not None

    def _say(self, name: str, out: bool) -> None:
        if self._enter():
            self._place.record_override(name, out)
            self._tell()

    def _tell(self) -> None:
        if self._files is not None:
            self._held = self._relay.client_count
            learned = self._facade.export_learned_state() if self._yielded else {}
            try:
                self._files.tell(
                    ProcessState(
                        self._place.generation,
                        self._place.stage,
                        self._held,
                        self._place.overrides,
                        learned,
                    )
                )
            except OSError as problem:
                self._counters["files that can't be written"] += 1
                self._log(f"what this process tells the next can't be written: {problem}")

    def _take_words(self, lives: list[ProcessState]) -> None:
        for name, out in (
            sorted(self._place.merge_overrides(lives).items())
            if not self.overrides_stored_elsewhere
            else ()
        ):
            self._facade.apply_operator_override(name, out)

    def _look(self) -> None:
        assert self._files is not None
        if (
            not self._files.changed()
            and not self._others_live
            and self._place.stage is Stage.SERVING
        ):
            return  # alone, as before
        living, ended = self._files.others()
        if self._others_live and not living:
            self._facade.other_processes_ended()
        self._others_live = bool(living)
        self._take_words(living + ended)
        self._relay.clients_elsewhere = sum(life.client_count for life in living)
        for life in living + ended if self._place.stage is Stage.SERVING else []:
            self._take_ended(life)
        while self._place.advance(living, self._relay.ready):
            self._change(living)
            self._tell()
            living, _ = self._files.others()
        if living and self._held != self._relay.client_count:
            self._tell()

    def _take_ended(self, life: ProcessState) -> None:
        """Connections of an earlier process end while their clients come back to this one."""
        for server, load in life.learned_state.get("ended", ()):
            more = load - self._ended.get((life.generation, server), 0.0)
            if more > 0:
                self._ended[life.generation, server] = load
                self._facade.connection_ended_elsewhere(server, more)

    def _change(self, living: list[ProcessState]) -> None:
        stage = self._place.stage
        self._log(f"process {self._place.generation} of this balancer is {stage.value}")
        self._relay.set_accepting(stage is Stage.SERVING)
        if stage is Stage.SERVING:
            for life in living:
                if life.learned_state and life.generation not in self._followed:
                    self._followed.add(life.generation)
                    self._facade.import_learned_state(life.learned_state)
        self._facade.set_standby(stage is Stage.YIELDED)
        self._yielded = stage is Stage.YIELDED
