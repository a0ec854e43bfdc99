"""Runs balancers for the simulator: reads batches of events and writes one reply per batch."""

from __future__ import annotations

import gc
import json
import random
import sys
import traceback

from corklift.benchlink import codec
from corklift.interface import ListedServer, Login, MeasurementKind, Outcome, Scope
from corklift.policy import Balancer
from corklift.settings import SettingsError, translate

# Outcome codes of the simulator, which are numbers of Linux errors (0: none).
OUTCOMES = {
    0: Outcome.FULFILLED,
    5: Outcome.ERROR,
    11: Outcome.FULL,
    110: Outcome.TIMED_OUT,
    111: Outcome.NOT_CONNECTED,
    104: Outcome.BROKEN,
    125: Outcome.CANCELLED,
    114: Outcome.NOT_SENT,
}
# Longer timers are shortened to 71 minutes.
MAX_TIMER_NS = 71 * 60 * 1_000_000_000
# The peer number that stands for all peers.
ALL_PEERS = 0xFFFF
# By `MeasurementKind`: microseconds of work per second, and milliseconds.
MEASUREMENT_UNITS_NS = {1: 1_000, 2: 1_000_000}


class InstanceHost:
    """The `Host` of one `Balancer`: adds each of its actions to the reply."""

    def __init__(self, number: int, reply: codec.Reply) -> None:
        self._number = number
        self._reply = reply

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        self._reply.hand_off(self._number, login, server, cut_at)

    def cancel(self, login: int, attempt: int) -> None:
        self._reply.cancel(self._number, login, attempt)

    def bounce(self, login: int, retry_in: int) -> None:
        self._reply.bounce(self._number, login, retry_in)

    def terminate(self, login: int) -> None:
        self._reply.terminate(self._number, login)

    def move(self, login: int) -> None:
        self._reply.move(self._number, login)

    def probe(self, server: int) -> None:
        self._reply.probe(self._number, server)

    def close_idle(self, server: int) -> None:
        self._reply.close_idle(self._number, server)

    def set_timer(self, after: int, mark: int) -> None:
        self._reply.set_timer(self._number, min(after, MAX_TIMER_NS), mark)

    def watch_list(self, wanted: bool) -> None:
        self._reply.watch_list(self._number, wanted)

    def fetch_list(self) -> None:
        self._reply.resolve(self._number)

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        self._reply.send_to_peer(self._number, ALL_PEERS if peer is None else peer, content)

    def log(self, text: str) -> None:
        self._reply.log(self._number, text)


def _login(fields: tuple) -> Login:
    """Returns the login of a NEW_REQUEST or CARRIED event.

    Flags: 1 says that the cost is known, 8 stands for `mid_flow`, and 16 for `came_back`.
    """
    login, workload, tenant, subject, time_limit_at, cost, group, flags = fields[:8]
    return Login(
        login,
        workload,
        tenant,
        subject,
        time_limit_at,
        cost if flags & 1 else None,
        group,
        bool(flags & 8),
        bool(flags & 16),
    )


class Adapter:
    """The balancers of this process. They share only the server lists, which are numbered."""

    def __init__(self) -> None:
        self.reply = codec.Reply()
        self._lists: dict[int, tuple[ListedServer, ...]] = {}
        self._balancers: dict[int, Balancer] = {}
        self._report_fields: dict[int, tuple[str | None, ...]] = {}

    def process_batch(self, batch: codec.Batch) -> bytes:
        """Passes the events of a batch to the balancers; returns the encoded reply.

        Raises:
            FrameError: the batch does not follow the format.
        """
        self.reply.clear()
        instance = None
        for code, fields, content in list(codec.read_records(batch)):
            if code == codec.SELECT:
                instance = fields[0]
            elif code == codec.LEDGER:
                self._lists[fields[0]] = codec.parse_entries(content)
            elif instance is None:
                raise codec.FrameError(
                    f"batch {batch.number}: {codec.NAMES[code]} before any SELECT"
                )
            else:
                try:
                    self._dispatch(instance, code, fields, content, batch.now)
                except SettingsError as problem:
                    self.reply.fault(instance, str(problem))
                except Exception as problem:
                    # Also reported in the reply, so that the simulation shows the error.
                    traceback.print_exc(file=sys.stderr)
                    self.reply.fault(instance, f"{type(problem).__name__}: {problem}")
        return self.reply.frame(batch.number)

    def _dispatch(self, instance: int, code: int, fields: tuple, content: bytes, now: int) -> None:
        """Passes one event to the balancer of the instance, which START creates."""
        if code == codec.START:
            try:
                settings = json.loads(content)
            except ValueError as problem:
                raise SettingsError(f"settings: no JSON text: {problem}") from None
            arguments, self._report_fields[instance] = translate(settings)
            host = InstanceHost(instance, self.reply)
            self._balancers[instance] = Balancer(
                host, random.Random(fields[0]), now=now, **arguments
            )
            return
        if code == codec.KILLED:
            self._balancers.pop(instance, None)
            return
        balancer = self._balancers.get(instance)
        if balancer is None:
            return
        if code == codec.NEW_REQUEST:
            balancer.login_arrived(now, _login(fields))
        elif code == codec.TICK_DUE:
            balancer.timer_due(now, fields[0])
        elif code == codec.RESOLVED:
            login, closed, server, outcome_code, attempt, delay, _ = fields
            balancer.hand_off_ended(
                now,
                login,
                bool(closed),
                server,
                OUTCOMES.get(outcome_code, Outcome.ERROR),
                attempt,
                delay,
                codec.parse_report(content, self._report_fields[instance]),
            )
        elif code == codec.CHECK_RESULT:
            server, delay, outcome_code, _ = fields
            balancer.probe_answered(
                now,
                server,
                delay,
                OUTCOMES.get(outcome_code, Outcome.ERROR),
                codec.parse_report(content, self._report_fields[instance]),
            )
        elif code == codec.UNDER_WAY:
            login, attempt, server, delay = fields
            balancer.hand_off_started(now, login, attempt, server, delay)
        elif code == codec.NOTICE:
            login, value, attempt, sort, server = fields
            if sort in MEASUREMENT_UNITS_NS:
                balancer.measurement_received(
                    now,
                    login,
                    attempt,
                    server,
                    MeasurementKind(sort),
                    value * MEASUREMENT_UNITS_NS[sort],
                )
        elif code == codec.DROPPED:
            balancer.login_dropped(now, fields[0])
        elif code == codec.DISCOVERY:
            scope = Scope(fields[0])
            listed = () if scope is Scope.FAILED else self._lists[fields[2]]
            balancer.servers_listed(now, scope, fields[1], listed)
        elif code == codec.CARRIED:
            balancer.connection_resumed(now, _login(fields), fields[8])
        elif code == codec.MAIL:
            balancer.peer_message_received(now, fields[0], content)


def main() -> int:
    """Serves the simulator until the end of the input; returns the exit status."""
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)
    adapter = Adapter()
    input_stream, output_stream = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := codec.read_batch(input_stream)) is not None:
            output_stream.write(adapter.process_batch(batch))
            output_stream.flush()
    except (codec.FrameError, ValueError, KeyError) as problem:
        print(f"corklift: malformed input: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
