"""Coordinates this process with the other processes of its balancer during an upgrade.

The driver decides with `Handover` whether this process accepts clients, and shares operator
overrides and learned state with the other processes through `HandoverFiles`. Invariants: two
processes never accept clients at the same time; no accepted client waits for another process; an
operator is answered only after the override is written where the next process finds it.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from corklift.handover import Handover, ProcessState, Stage, UnreadableStateError
from corklift.net.discovery_watch import DiscoveryWatch
from corklift.net.facade import Facade
from corklift.net.handover_files import HandoverFiles
from corklift.net.limits import Counters, Limits
from corklift.net.relay import Relay
from corklift.net.scheduler import Scheduler
from corklift.net.server_list import decode_server_list, encode_server_list


class HandoverDriver:
    """Runs the handover of one process: reads the others' states and applies what follows."""

    def __init__(
        self,
        scheduler: Scheduler,
        limits: Limits,
        counters: Counters,
        log: Callable[[str], None],
        facade: Facade,
        relay: Relay,
        watch: DiscoveryWatch,
        path: str | None,
        socket_shared: bool,
    ) -> None:
        """Creates the driver.

        Args:
            path: the directory of the state files; None if there is none.
            socket_shared: whether the processes share the listening socket.
        """
        self._scheduler, self._limits, self._counters, self._log = scheduler, limits, counters, log
        self._facade, self._relay, self._watch, self._path, self._socket_shared = (
            facade,
            relay,
            watch,
            path,
            socket_shared,
        )
        self._files: HandoverFiles | None = None
        self._handover = Handover(0)
        self._has_yielded = False  # the learned state is part of the written state
        self._written_client_count = 0  # the client count in the state written last
        # Discovery and version of the server list written last.
        self._written_list: tuple[tuple[str, int], int] | None = None
        self._list_write_failed = False  # in the last try; it is repeated
        self._is_written = True  # whether the last write succeeded; it is repeated otherwise
        # Load of the connections that ended at earlier processes and was already applied, by
        # generation and server.
        self._ended_loads: dict[tuple[int, int], float] = {}
        # Generations whose learned state has been imported.
        self._imported_generations: set[int] = set()
        self._others_running = True  # assumed until the first poll
        self._is_stopping = False
        # Set by recovery, which stores the operator overrides itself and is authoritative for them.
        self.overrides_stored_elsewhere = False

    @property
    def is_serving(self) -> bool:
        """Whether this process accepts clients, or has yielded that to a later process."""
        return not self._socket_shared or self._handover.stage in (Stage.SERVING, Stage.YIELDED)

    def join(self) -> None:
        """Applies the operator overrides of earlier processes; called before the first login."""
        if (
            not (self._socket_shared or self._path and os.path.isdir(self._path))
            or not self._ensure_files()
        ):
            if self._socket_shared:
                # Without a directory the other processes can't be seen. This process assumes that
                # it is alone: otherwise nobody might accept clients.
                self._socket_shared = False
                self._relay.set_accepting(True)
            return
        running, ended = self._files.read_others()
        self._merge_overrides(running + ended)
        if self._socket_shared:
            self._share_names()
            self._read_names(running, ended)
        self._write_state()
        self._files.remove_files(ended)

    def poll_loop(self) -> None:
        """Polls the other processes while the listening socket is shared.

        Takes over from an earlier process, and yields to a later one.
        """
        while self._socket_shared and self._files is not None:
            try:
                self._poll()
            except OSError as problem:
                # The directory may have been removed; clients are served all the same.
                if not self._counters["looks at other processes that failed"]:
                    self._log(f"cannot read the state of the balancer's other processes: {problem}")
                self._counters["looks at other processes that failed"] += 1
            self._scheduler.sleep(self._limits.look_pause)

    def take_out_of_service(self, name: str) -> bool:
        """Drains the server and stores the override; returns whether there is such a server."""
        if not self._facade.take_out_of_service(name):
            return False
        self._record_override(name, True)
        return True

    def restore_to_service(self, name: str) -> bool:
        """Ends an override and stores that; returns whether there is such a server."""
        if not self._facade.restore_to_service(name):
            return False
        if name in self._handover.servers_out_of_service():
            self._record_override(name, False)
        return True

    def stop_requested(self) -> None:
        """Leaves the clients to a later process, unless this is the one that serves.

        That one goes on accepting until a later process is ready or it leaves itself: otherwise
        clients would wait in the queue for a process that may not even have been started.
        """
        self._is_stopping = True
        if self._handover.stage is not Stage.SERVING:
            self.leave()

    def leave(self) -> None:
        """Stops accepting and says so, so that a later process need not wait for this one."""
        self._handover.leave()
        if self._socket_shared and self._files is not None:
            self._relay.set_accepting(False)
            self._write_server_list()
            self._write_state()

    # Internals

    def _ensure_files(self) -> bool:
        """Claims a generation on first use; returns whether state files can be written."""
        if self._files is None and self._path is not None:
            try:
                self._files = HandoverFiles(self._path, self._log)
                stage, overrides = self._handover.stage, self._handover.overrides
                self._handover = Handover(self._files.generation)
                self._handover.stage, self._handover.overrides = stage, overrides
            except OSError as problem:
                self._path = None
                self._log(f"operator overrides will be lost at the end of this process: {problem}")
        return self._files is not None

    def _share_names(self) -> None:
        """Lets the other processes read this one's connection names, before it says that it runs.

        So a later process, which serves only once this one has yielded, finds them.
        """
        assert self._files is not None
        try:
            with self._files.create_name_table() as file:
                self._relay.names.share(file.fileno())
        except OSError as problem:
            self._counters["files that can't be written"] += 1
            self._log(f"other processes of this balancer can't see its connection names: {problem}")

    def _read_names(self, running: list[ProcessState], ended: list[ProcessState]) -> None:
        assert self._files is not None
        self._relay.names.other_processes(
            [state.generation for state in running],
            [state.generation for state in ended],
            self._files.open_name_table,
        )

    def _record_override(self, name: str, out_of_service: bool) -> None:
        if self._ensure_files():
            self._handover.record_override(name, out_of_service)
            self._write_state()

    def _write_state(self) -> None:
        if self._files is not None:
            self._written_client_count = self._relay.client_count
            learned = self._facade.export_learned_state() if self._has_yielded else {}
            was_written, self._is_written = self._is_written, False
            try:
                self._files.write_state(
                    ProcessState(
                        self._handover.generation,
                        self._handover.stage,
                        self._written_client_count,
                        self._handover.overrides,
                        learned,
                    )
                )
                self._is_written = True
            except OSError as problem:
                self._counters["files that can't be written"] += 1
                if was_written:  # told once, not at each look
                    self._log(
                        f"cannot write the state for the balancer's other processes: {problem}"
                    )

    def _write_server_list(self) -> None:
        """Writes the server list for the other processes, if it has changed."""
        version = self._facade.server_list.version
        if self._files is None or version is None:
            return
        described = (self._watch.address, version)
        if described == self._written_list:
            return
        try:
            self._files.write_server_list(
                encode_server_list(self._watch.address, self._facade.server_list.listing())
            )
            self._written_list, self._list_write_failed = described, False
        except OSError as problem:
            self._counters["files that can't be written"] += 1
            if not self._list_write_failed:  # told once, not at each look
                self._log(f"other processes of this balancer can't see its server list: {problem}")
            self._list_write_failed = True

    def _adopt_server_list(self) -> None:
        """Takes over the newest list of the other processes, if it is newer than the known one.

        Discovery may be down: a drain that one process has learned holds for the balancer.
        """
        assert self._files is not None
        listings = []
        for content in self._files.read_server_lists():
            try:
                discovery, listing = decode_server_list(content)
            except UnreadableStateError as problem:
                self._log(f"ignoring the server list of another process: {problem}")
                continue
            if discovery == self._watch.address:
                listings.append(listing)
        newest = max(listings, key=lambda listing: listing.version, default=None)
        if newest is not None and self._watch.adopt(newest):
            self._counters["server lists taken over"] += 1
            self._log(f"server list {newest.version} taken over from another process")

    def _merge_overrides(self, states: list[ProcessState]) -> None:
        for name, out_of_service in (
            sorted(self._handover.merge_overrides(states).items())
            if not self.overrides_stored_elsewhere
            else ()
        ):
            self._facade.apply_operator_override(name, out_of_service)

    def _poll(self) -> None:
        assert self._files is not None
        if (
            not self._files.has_changed()
            and not self._others_running
            and self._handover.stage is Stage.SERVING
            and self._is_written
        ):
            return  # still the only process
        running, ended = self._files.read_others()
        if self._others_running and not running:
            self._facade.other_processes_ended()
        self._others_running = bool(running)
        self._merge_overrides(running + ended)
        self._read_names(running, [])
        self._relay.clients_elsewhere = sum(state.client_count for state in running)
        for state in running + ended if self._handover.stage is Stage.SERVING else []:
            self._apply_ended_connections(state)
        if running:
            self._write_server_list()  # before this process may yield
        while self._handover.advance(running, self._relay.ready):
            self._apply_stage(running)
            self._write_state()
            running, _ = self._files.read_others()
        if self._is_stopping and self._handover.stage is Stage.YIELDED:
            self.leave()
        if not self._is_written or (
            running and self._written_client_count != self._relay.client_count
        ):
            self._write_state()

    def _apply_ended_connections(self, state: ProcessState) -> None:
        """Applies connections that ended at an earlier process, whose clients log in again here."""
        for server, load in state.learned_state.get("ended", ()):
            new_load = load - self._ended_loads.get((state.generation, server), 0.0)
            if new_load > 0:
                self._ended_loads[state.generation, server] = load
                self._facade.connection_ended_elsewhere(server, new_load)

    def _apply_stage(self, running: list[ProcessState]) -> None:
        stage = self._handover.stage
        self._log(f"process {self._handover.generation} of this balancer is {stage.value}")
        self._relay.set_accepting(stage is Stage.SERVING)
        if stage is Stage.SERVING:
            self._adopt_server_list()
            for state in running:
                if state.learned_state and state.generation not in self._imported_generations:
                    self._imported_generations.add(state.generation)
                    self._facade.import_learned_state(state.learned_state)
        self._facade.set_standby(stage is Stage.YIELDED)
        self._has_yielded = stage is Stage.YIELDED
