"""Runs Balancers on the simulator's wire: batches on standard input, one reply each on standard output."""

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
LONGEST_TIMER = 71 * 60 * 1_000_000_000
EVERYONE = 0xFFFF
NOTE_UNIT = {1: 1_000, 2: 1_000_000}  # microseconds of work, milliseconds -> ns


class Instance:
    """The Host of one Balancer: writes what it does straight into the reply."""

    def __init__(self, number: int, reply: codec.Reply) -> None:
        self._number = number
        self._reply = reply

    def hand_off(self, login: int, server: int, cut_at: int) -> None:
        self._reply.forward(self._number, login, server, cut_at)

    def cancel(self, login: int, attempt: int) -> None:
        self._reply.revoke(self._number, login, attempt)

    def bounce(self, login: int, retry_in: int) -> None:
        self._reply.decline(self._number, login, retry_in)

    def terminate(self, login: int) -> None:
        self._reply.report_failure(self._number, login)

    def move(self, login: int) -> None:
        self._reply.transfer(self._number, login)

    def probe(self, server: int) -> None:
        self._reply.sound_out(self._number, server)

    def close_idle(self, server: int) -> None:
        self._reply.hang_up(self._number, server)

    def set_timer(self, after: int, mark: int) -> None:
        self._reply.arm(self._number, min(after, LONGEST_TIMER), mark)

    def watch_list(self, wanted: bool) -> None:
        self._reply.subscribe(self._number, wanted)

    def fetch_list(self) -> None:
        self._reply.resolve(self._number)

    def send_to_peer(self, peer: int | None, content: bytes) -> None:
        self._reply.say(self._number, EVERYONE if peer is None else peer, content)

    def log(self, text: str) -> None:
        self._reply.debug(self._number, text)


def _login(fields: tuple) -> Login:
    txn, workload, tenant, subject, limit_at, cost, group, flags = fields[:8]
    return Login(
        txn,
        workload,
        tenant,
        subject,
        limit_at,
        cost if flags & 1 else None,
        group,
        bool(flags & 8),
        bool(flags & 16),
    )


class Link:
    """All instances of this process; they share nothing but the numbered lists."""

    def __init__(self) -> None:
        self.reply = codec.Reply()
        self._lists: dict[int, tuple[ListedServer, ...]] = {}
        self._balancers: dict[int, Balancer] = {}
        self._fields: dict[int, tuple[str | None, ...]] = {}

    def batch(self, batch: codec.Batch) -> bytes:
        self.reply.clear()
        who = None
        for code, fields, content in list(codec.records(batch)):
            if code == codec.SELECT:
                who = fields[0]
            elif code == codec.LEDGER:
                self._lists[fields[0]] = codec.entries(content)
            elif who is None:
                raise codec.BadFrame(f"batch {batch.number}: {codec.NAMES[code]} before any SELECT")
            else:
                try:
                    self._event(who, code, fields, content, batch.now)
                except SettingsError as problem:
                    self.reply.fault(who, str(problem))
                except (
                    Exception
                ) as problem:  # the day must show it, so it is told and never swallowed
                    traceback.print_exc(file=sys.stderr)
                    self.reply.fault(who, f"{type(problem).__name__}: {problem}")
        return self.reply.frame(batch.number)

    def _event(self, who: int, code: int, fields: tuple, content: bytes, now: int) -> None:
        if code == codec.START:
            try:
                settings = json.loads(content)
            except ValueError as problem:
                raise SettingsError(f"settings: no JSON text: {problem}") from None
            arguments, self._fields[who] = translate(settings)
            host = Instance(who, self.reply)
            self._balancers[who] = Balancer(host, random.Random(fields[0]), now=now, **arguments)
            return
        if code == codec.KILLED:
            self._balancers.pop(who, None)
            return
        balancer = self._balancers.get(who)
        if balancer is None:
            return
        if code == codec.NEW_REQUEST:
            balancer.login_arrived(now, _login(fields))
        elif code == codec.TICK_DUE:
            balancer.timer_due(now, fields[0])
        elif code == codec.RESOLVED:
            txn, closed, server, state, attempt, delay, _ = fields
            balancer.hand_off_ended(
                now,
                txn,
                bool(closed),
                server,
                OUTCOMES.get(state, Outcome.ERROR),
                attempt,
                delay,
                codec.report(content, self._fields[who]),
            )
        elif code == codec.CHECK_RESULT:
            server, delay, state, _ = fields
            balancer.probe_answered(
                now,
                server,
                delay,
                OUTCOMES.get(state, Outcome.ERROR),
                codec.report(content, self._fields[who]),
            )
        elif code == codec.UNDER_WAY:
            txn, attempt, server, delay = fields
            balancer.hand_off_started(now, txn, attempt, server, delay)
        elif code == codec.NOTICE:
            txn, value, attempt, sort, server = fields
            if sort in NOTE_UNIT:
                balancer.measurement_received(
                    now, txn, attempt, server, MeasurementKind(sort), value * NOTE_UNIT[sort]
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
    gc.freeze()
    gc.set_threshold(50_000, 20, 20)
    link = Link()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := codec.read_batch(source)) is not None:
            sink.write(link.batch(batch))
            sink.flush()
    except (codec.BadFrame, ValueError, KeyError) as problem:
        print(f"corklift: malformed input: {problem}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
