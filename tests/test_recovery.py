"""Tests of recovery: facts, queries to peers, phases and admission; power loss in virtual time, and
state space exploration.
"""

from random import Random

import pytest

from corklift.interface import ColdRule
from corklift.lab import explore as lab_explore
from corklift.lab.explore_recovery import RecoveryShape
from corklift.lab.power import PowerLossCase, run_case
from corklift.recovery import core as recovery_core
from corklift.recovery import facts as recovery_facts
from corklift.recovery.admission import AdmissionControl, retry_after
from corklift.recovery.core import Recovery, RecoveryConfig, RecoveryPhase, ReplicationOutcome
from corklift.recovery.facts import (
    COUNT,
    DRAIN,
    ENDED,
    KINDS,
    OUT,
    SELF,
    Fact,
    FactDecodeError,
    Facts,
    Provenance,
    StoredServer,
    Trust,
    decode_fact,
    encode_fact,
)
from corklift.recovery.messages import (
    Marker,
    Replicate,
    ReplicateReply,
    StateReply,
    StateRequest,
    decode,
    encode,
)

SECOND = 1_000_000_000
RULE = ColdRule(0.3, 8 * SECOND, 3.0, SECOND)


class Host:
    def __init__(self, boot="one", alone=False, expected=5):
        (
            self.state_requests,
            self.replications,
            self.writes,
            self.phases,
            self.out_of_service,
            self.logs,
            self.list_updates,
        ) = (
            [],
            [],
            [],
            [],
            set(),
            [],
            0,
        )
        self.core = Recovery(
            self,
            Random(1),
            RecoveryConfig(SECOND, cold=RULE),
            0,
            name="b1",
            instance_id=1,
            boot=boot,
            expected=expected,
            alone=alone,
        )

    def request_state(self, request_id, name, message, until):
        self.state_requests.append((request_id, name, message))

    def replicate(self, request_id, name, message, until):
        self.replications.append((request_id, name, message))

    def persist(self, write_id, facts):
        self.writes.append((write_id, facts))

    def delete_persisted(self, facts):
        self.deleted = [*getattr(self, "deleted", []), *facts]

    def apply_recovered(self, out_of_service, restored):
        self.out_of_service = self.out_of_service - restored | out_of_service

    def probe_servers(self, span):
        pass

    def reapply_list(self):
        self.list_updates += 1

    def server_start_times(self):
        return {"s1": 7}

    def phase_changed(self, phase, reason):
        self.phases.append(phase)

    def log(self, what, **fields):
        self.logs.append(what)

    def load(self, *facts, now=0, boot="one", clean=False, fresh=False, **options):
        stored = [] if fresh else [Fact(ENDED, "", (1,), [boot, clean], "b1"), *facts]
        self.core.store_loaded(now, stored, Marker(b"mine", 9), fresh, **options)
        return self.core

    def finish_writes(self, succeeded=True):
        for write_id, _ in self.writes:
            self.core.persisted(0, write_id, 10, "" if succeeded else "disk full")
        self.writes = []


def state_reply(
    *facts,
    lived_through=False,
    has_memory=True,
    sender="b2",
    requester_marker=Marker(),
    provenances=None,
    start_times=None,
    power_lost=False,
):
    return StateReply(
        sender,
        2,
        lived_through,
        facts,
        tuple(provenances or [Provenance.READ] * len(facts)),
        Marker(),
        requester_marker,
        start_times or {},
        has_memory,
        power_lost,
    )


def override(server, version, value=True, source="b1"):
    return Fact(OUT, server, (version,), value, source)


def test_the_highest_version_of_a_fact_wins_in_any_order():
    facts = Facts()
    assert facts.merge(override("s1", 3), Provenance.READ) and not facts.merge(
        override("s1", 2, False), Provenance.LIVE
    )
    assert facts.out_of_service() == {"s1"} and facts.provenance(OUT, "s1") is Provenance.READ
    assert (
        not facts.merge(override("s1", 3), Provenance.LIVE)
        and facts.provenance(OUT, "s1") is Provenance.LIVE
    )
    assert (
        facts.merge(override("s1", 4, False), Provenance.HEARD) and facts.out_of_service() == set()
    )
    # Of two equal versions the source decides, in the same way at all balancers.
    assert facts.merge(override("s1", 4, True, source="b9"), Provenance.HEARD)
    other = Facts()
    for fact in (override("s1", 4, True, source="b9"), override("s1", 4, False), override("s1", 3)):
        other.merge(fact, Provenance.HEARD)
    assert other.digest == facts.digest and other.out_of_service() == facts.out_of_service()


def test_a_drain_is_ended_by_a_newer_list_or_a_restart_but_not_by_an_older_list():
    core = Host().load()
    assert core.update_drain(0, "s1", 0, 10, True)
    assert core.update_drain(0, "s1", 0, 9, False)  # an older list
    assert core.update_drain(0, "s1", 0, 10, False)
    assert not core.update_drain(0, "s1", 0, 11, False) and not core.facts.is_leaving("s1", 0, 11)
    assert core.update_drain(0, "s2", 500, 10, True)
    assert core.update_drain(0, "s2", 400, 12, False)  # about an earlier process of that name
    assert not core.update_drain(
        0, "s2", 600, 3, False
    )  # a new process: the index may have restarted


def test_only_old_drains_of_unlisted_servers_are_deleted():
    host = Host()
    core = host.load()
    core.config = core.config._replace(max_gone_drains=3)
    for at in range(6):
        core.update_drain(0, f"s{at}", 0, 10 + at, True)
    core.list_received(0, [StoredServer("s0", "10.0.0.1", 1, "", "", 0, 2, 1.0)], 30)
    assert [fact.name for fact in host.deleted] == ["s1", "s2"]
    assert (
        core.facts.is_leaving("s0", 0, 9)
        and core.facts.is_leaving("s5", 0, 9)
        and not core.facts.is_leaving("s1", 0, 9)
    )


def test_untrusted_kinds_and_invalid_facts_are_not_stored():
    assert {name for name, (trust, _) in KINDS.items() if trust is Trust.NEVER} == {
        "connections",
        "health",
        "cold",
    }
    for fact in (override("s1", 3), Fact(DRAIN, "s", (0, 3), True), Fact(COUNT, "", (1,), 9)):
        assert decode_fact(encode_fact(fact)[1]) == fact
    for bad in (
        Fact(OUT, "s", (1,), "yes"),
        Fact(COUNT, "", (1,), -1),
        Fact(OUT, "s" * 300, (1,), True),
        Fact(OUT, "s", (), True),
    ):
        with pytest.raises(FactDecodeError):
            decode_fact(encode_fact(bad)[1])
    with pytest.raises(FactDecodeError):
        decode(Replicate, encode(Replicate("b", 1, Marker(), (Fact(OUT, "s", (1,), 7),))))
    with pytest.raises(FactDecodeError):
        decode(StateReply, b"\xff\x00")


def test_the_next_incarnation_is_above_the_stored_one():
    core = Host().load(Fact(SELF, "", (4,), [7, 3]))
    assert core.next_incarnation == (8, 4)
    assert Host().load(fresh=True).next_incarnation == (0, 1)


def test_in_every_phase_a_login_is_admitted_or_rejected_with_a_time_to_retry():
    host = Host()
    core = host.core
    waits = [core.admit_login(0, importance) for importance in [0.0] * 300 + [1.0] * 300]
    assert all(0 < wait <= SECOND for wait in waits)
    assert sum(waits[:300]) > sum(waits[300:])  # important logins retry sooner
    host.load()
    core.members_changed(0, ["b2", "b3", "b4"], True)
    for number, name, _ in list(host.state_requests):
        core.reply_received(0, number, state_reply(sender=name))
    assert core.phase is RecoveryPhase.LOOK and core.admit_login(0, 1.0) is not None
    core.servers_probed(0, ["s1", "s2"], False)
    assert core.phase is RecoveryPhase.LOOK
    core.servers_probed(0, ["s1", "s2"], True)
    assert (
        core.phase is RecoveryPhase.OPEN
        and core.admit_login(0, 1.0) is None
        and core.admit_login(0, 1.0) is not None
    )
    core.login_finished(0, True)
    assert (
        core.admit_login(0, 1.0) is None
        and core.admit_login(0, 1.0) is None
        and core.admit_login(0, 1.0) is not None
    )


def test_a_store_that_stalls_is_not_waited_for_and_merged_when_it_loads_late():
    host = Host()
    core = host.core
    assert core.tick(SECOND) and core.phase is RecoveryPhase.READ
    core.tick(4 * SECOND)
    assert core.phase is RecoveryPhase.ASK and core.store_error
    host.load(override("s1", 3), now=9 * SECOND)
    assert host.out_of_service == {"s1"}


def test_which_peers_are_queried_and_what_ends_the_queries():
    host = Host(expected=40)
    host.load()
    host.core.members_changed(0, [f"b{number}" for number in range(2, 41)], True)
    assert len(host.state_requests) == 3  # a few, not all
    for number, name, _ in list(host.state_requests):
        host.core.request_failed(0, number)
    assert len(host.state_requests) == 6 and host.core.phase is RecoveryPhase.ASK
    for number, name, _ in host.state_requests[3:]:
        host.core.reply_received(0, number, state_reply(sender=name, has_memory=False))
    # Peers with empty stores can't confirm that there were no facts.
    assert host.core.phase is RecoveryPhase.ASK
    for number, name, _ in host.state_requests[6:]:
        host.core.reply_received(0, number, state_reply(sender=name))
    assert host.core.phase is RecoveryPhase.LOOK and host.core.state_complete


def test_a_lone_balancer_serves_after_a_deadline_unless_its_store_was_empty():
    host = Host()
    host.load()
    host.core.members_changed(0, [], True)
    host.core.tick(4 * SECOND)
    assert host.core.phase is RecoveryPhase.ASK
    host.core.tick(6 * SECOND)
    assert host.core.phase is RecoveryPhase.LOOK and not host.core.state_complete
    stopped = Host()
    stopped.load(clean=True)
    stopped.core.members_changed(0, [], True)
    stopped.core.tick(3 * SECOND)
    assert stopped.core.phase is RecoveryPhase.LOOK
    empty = Host()
    empty.load(fresh=True)
    empty.core.members_changed(0, [], True)
    empty.core.tick(600 * SECOND)
    assert empty.core.phase is RecoveryPhase.ASK
    for act in (
        lambda core: core.store_unreadable(0, "InUse"),
        lambda core: core.tick(4 * SECOND),
    ):  # the store is in use by another process; the store stalls
        unread = Host()
        act(unread.core)
        unread.core.members_changed(5 * SECOND, [], True)
        unread.core.tick(600 * SECOND)
        assert unread.core.phase is RecoveryPhase.ASK
    alone = Host(alone=True)
    alone.load(fresh=True)
    assert alone.core.phase is RecoveryPhase.LOOK


def test_two_balancers_that_only_read_their_disks_do_not_confirm_each_other():
    host = Host(expected=3)
    core = host.load()
    core.members_changed(0, ["b2", "b3"], True)
    core.reply_received(
        0, host.state_requests[0][0], state_reply(override("s1", 3), provenances=[Provenance.LIVE])
    )
    assert (
        host.out_of_service == {"s1"}
        and core.facts.provenance(OUT, "s1") is Provenance.HEARD
        and not core.live_peer_replied
    )
    reply = core.state_requested(0, StateRequest("b3", 5, Marker(), 0, True))
    assert (
        not reply.lived_through
        and not reply.start_times
        and reply.provenances[[fact.kind for fact in reply.facts].index(OUT)] == Provenance.HEARD
    )
    core.reply_received(
        0,
        host.state_requests[1][0],
        state_reply(
            override("s1", 4, False),
            lived_through=True,
            provenances=[Provenance.LIVE],
            start_times={"s1": 5},
        ),
    )
    assert (
        core.live_peer_replied
        and host.out_of_service == set()
        and core.facts.provenance(OUT, "s1") is Provenance.LIVE
    )


def test_a_peer_reveals_a_store_that_was_rolled_back_and_a_live_peer_repairs_it():
    host = Host()
    core = host.load()
    core.members_changed(0, ["b2", "b3"], True)
    core.reply_received(
        0, host.state_requests[0][0], state_reply(requester_marker=Marker(b"mine", 12))
    )
    assert core.behind and "behind" in host.logs
    core.reply_received(0, host.state_requests[1][0], state_reply(sender="b3", lived_through=True))
    assert not core.behind and "made good" in host.logs
    other = Host()
    other.load().members_changed(0, ["b2"], True)
    other.core.reply_received(
        0, other.state_requests[0][0], state_reply(requester_marker=Marker(b"another", 1))
    )
    assert other.core.behind  # the store was emptied or replaced


def serving_host(live_peers=("b2", "b3", "b4", "b5")):
    host = Host()
    core = host.load()
    core.members_changed(0, list(live_peers), True)
    for number, name, _ in list(host.state_requests):
        core.reply_received(0, number, state_reply(sender=name, lived_through=True))
    core.servers_probed(0, ["s1"], True)
    assert core.phase is RecoveryPhase.FULL
    host.finish_writes()
    host.replications.clear()
    return host, core


def test_an_override_is_acknowledged_once_enough_disks_store_it():
    host, core = serving_host()
    outcomes = []
    core.set_out_of_service(0, "s1", True, lambda *outcome: outcomes.append(outcome))
    # It is in force at once.
    assert host.out_of_service == {"s1"} and len(host.replications) == 4 and not outcomes
    host.finish_writes()
    assert not outcomes
    # This peer received the override and failed to store it.
    core.replicate_reply_received(0, host.replications[0][0], ReplicateReply(False))
    core.replicate_reply_received(0, host.replications[1][0], ReplicateReply(True))
    assert not outcomes
    core.replicate_reply_received(0, host.replications[2][0], ReplicateReply(True))
    assert outcomes == [(ReplicationOutcome.KEPT, 3, 3)]
    core.replicate_reply_received(0, host.replications[3][0], None)
    assert outcomes == [(ReplicationOutcome.KEPT, 3, 3)]


@pytest.mark.parametrize(
    "stored_here, replies, copies",
    [(False, [ReplicateReply(True), None, None, None], 1), (True, [None] * 4, 1)],
)
def test_an_override_on_too_few_disks_is_not_acknowledged(stored_here, replies, copies):
    host, core = serving_host()
    outcomes = []
    core.set_out_of_service(0, "s1", True, lambda *outcome: outcomes.append(outcome))
    host.finish_writes(stored_here)
    for (number, _, _), reply in zip(host.replications, replies):
        core.replicate_reply_received(0, number, reply)
    assert (
        outcomes == [(ReplicationOutcome.PARTLY, copies, 3)]
        and bool(core.store_error) is not stored_here
    )
    host, core = serving_host()
    core.set_out_of_service(0, "s1", True, lambda *outcome: outcomes.append(outcome))
    core.tick(6 * SECOND)  # neither the disk nor a peer replies
    assert outcomes[-1][0] is ReplicationOutcome.PARTLY


def test_an_override_with_an_outdated_version_is_repeated_above_that_of_the_peers():
    host, core = serving_host()
    outcomes = []
    core.set_out_of_service(0, "s1", False, lambda *outcome: outcomes.append(outcome))
    host.finish_writes()
    core.replicate_reply_received(
        0, host.replications[0][0], ReplicateReply(True, (override("s1", 7, True, "b9"),))
    )
    assert core.facts.get(OUT, "s1").version == (8,) and host.out_of_service == set()
    host.finish_writes()
    for number, _, message in host.replications:
        if message.facts[0].version == (8,):
            core.replicate_reply_received(0, number, ReplicateReply(True))
    assert outcomes and outcomes[-1][0] is ReplicationOutcome.KEPT


def test_a_peer_gets_its_reply_once_its_override_is_stored_here():
    host, core = serving_host()
    replies = []
    core.replicate_received(
        0, Replicate("b2", 2, Marker(b"b2", 4), (override("s1", 5, True, "b2"),)), replies.append
    )
    assert host.out_of_service == {"s1"} and not replies
    host.finish_writes()
    assert replies == [ReplicateReply(True, (), Marker(b"mine", 10))]
    core.replicate_received(
        0, Replicate("b2", 2, Marker(b"b2", 4), (override("s1", 4, False, "b2"),)), replies.append
    )
    host.finish_writes(False)
    assert (
        replies[1].newer[0].version == (5,)
        and not replies[1].persisted
        and host.out_of_service == {"s1"}
    )
    assert core.state_requested(
        0, StateRequest("b2", 2, Marker(b"b2", 4), 0, True)
    ).requester_marker == Marker(b"b2", 4)


# An override that came with an older drain was put on no disk of the peer, which answered that it
# was: a 200 stood on fewer disks than it told.
@pytest.mark.parametrize("known_first", [OUT, DRAIN, None])
@pytest.mark.parametrize("order", [1, -1])
def test_each_fact_that_is_not_older_is_stored_before_the_reply(known_first, order):
    host, core = serving_host()
    known = {OUT: override("s1", 9, True, "b3"), DRAIN: Fact(DRAIN, "s1", (7, 9), True, "b3")}
    if known_first is not None:
        core.facts.merge(known[known_first], Provenance.HEARD)
    sent = [override("s1", 5, False, "b2"), Fact(DRAIN, "s1", (7, 3, 1), False, "b2")][::order]
    replies = []
    core.replicate_received(0, Replicate("b2", 2, Marker(b"b2", 4), tuple(sent)), replies.append)
    stored = {fact.key: fact for _, facts in host.writes for fact in facts}
    for fact in sent:
        assert (stored.get(fact.key) == fact) is (fact.kind != known_first)
    host.finish_writes()
    newer = () if known_first is None else (known[known_first],)
    assert replies == [ReplicateReply(True, newer, Marker(b"mine", 10))]


# The repeated override was in memory only where enough disks had answered before: a loss of power
# brought the peer's override back, against one that was answered 200.
def test_an_override_that_a_late_reply_outdates_is_stored_and_sent_again():
    host, core = serving_host()
    outcomes = []
    core.set_out_of_service(0, "s1", False, lambda *outcome: outcomes.append(outcome))
    host.finish_writes()
    for number, _, _ in host.replications[:3]:
        core.replicate_reply_received(0, number, ReplicateReply(True))
    assert [outcome[0] for outcome in outcomes] == [ReplicationOutcome.KEPT]
    late = host.replications[3][0]
    host.replications.clear()
    newer = ReplicateReply(True, (override("s1", 7, True, "b9"),))
    core.replicate_reply_received(0, late, newer)
    repeated = override("s1", 8, False)
    assert [fact for _, facts in host.writes for fact in facts if fact.kind == OUT] == [repeated]
    # One disk here and two others are those of the answer.
    assert len({name for _, name, _ in host.replications}) == core.config.copies == 2
    assert all(message.facts[0] == repeated for _, _, message in host.replications)
    host.finish_writes()
    for number, _, _ in host.replications:
        core.replicate_reply_received(0, number, ReplicateReply(True))
    assert len(outcomes) == 1 and not core._replications


# Peers beyond the first calls got the override without the end of the drain that goes with it.
def test_all_facts_of_an_override_are_sent_to_every_peer():
    peers = [f"b{number}" for number in range(2, 30)]
    host, core = serving_host(peers)
    core.update_drain(0, "s1", 0, 10, True)
    core.set_out_of_service(0, "s1", False, lambda *outcome: None)
    host.finish_writes()
    while host.replications:
        number, name, message = host.replications.pop(0)
        peers.remove(name)
        assert [fact.kind for fact in message.facts] == [OUT, DRAIN]
        core.replicate_reply_received(0, number, None)
    assert not peers


def test_after_a_power_loss_servers_are_as_old_as_their_first_reply():
    host = Host(boot="two")
    core = host.load(boot="one")
    assert core.power_lost
    assumed = core.effective_start(10 * SECOND, "s1", 5)
    assert assumed >= 10 * SECOND
    before = host.list_updates
    core.server_answered(assumed - 1, "s1")
    assert host.list_updates == before and core.effective_start(20 * SECOND, "s1", 5) == assumed
    core.effective_start(10 * SECOND, "s2", 5)
    core.server_answered(15 * SECOND, "s2")
    assert (
        host.list_updates == before + 1
        and core.effective_start(20 * SECOND, "s2", 5) == 15 * SECOND
    )
    core.members_changed(0, ["b2"], True)
    core.reply_received(
        0, host.state_requests[0][0], state_reply(lived_through=True, start_times={"s1": 3})
    )
    assert core.effective_start(20 * SECOND, "s1", 2) == 3  # from a peer that lived through it
    # The server's clock is ahead.
    assert core.effective_start(20 * SECOND, "s3", 90 * SECOND) == 20 * SECOND
    assert not Host().load().power_lost  # killed, and the machine was not rebooted
    emptied = Host(boot="two")
    emptied.load(fresh=True)
    emptied.core.members_changed(0, ["b2"], True)
    emptied.core.reply_received(0, emptied.state_requests[0][0], state_reply(power_lost=True))
    assert emptied.core.power_lost  # learned from the peer


def test_a_server_that_lost_its_connections_has_restarted():
    host, core = serving_host()
    core.server_answered(10 * SECOND, "s1", 40.0)
    core.server_answered(11 * SECOND, "s1", 2.0)  # its clients left, but it replied all the time
    before = host.list_updates
    core.server_answered(12 * SECOND, "s1", 40.0)
    core.server_unresponsive(13 * SECOND, "s1")
    core.server_answered(13 * SECOND, "s1", 35.0)  # it was only slow
    assert host.list_updates == before
    core.server_unresponsive(14 * SECOND, "s1")
    core.server_answered(15 * SECOND, "s1", 1.0)
    assert (
        host.list_updates == before + 1
        and core.effective_start(16 * SECOND, "s1", 5) == 15 * SECOND
    )


def test_servers_that_restart_within_two_seconds_without_a_list_change_are_not_overloaded():
    fallen = {
        kind: sum(
            run_case(PowerLossCase(seed, 4, 8, 40.0, 10.0, seconds=30.0, unlisted=8), kind).fallen
            for seed in range(4)
        )
        for kind in ("serve", "today")
    }
    assert fallen["serve"] == 0 and fallen["today"] >= 4


def test_admission_follows_the_outcome_of_logins_and_the_budget_of_cold_servers():
    admission = AdmissionControl(0, RULE, 4, 2)
    assert admission.window == 2.0
    assert (
        admission.try_admit(0, 1.0)
        and admission.try_admit(0, 1.0)
        and not admission.try_admit(0, 1.0)
    )
    admission.login_finished(True)
    admission.login_finished(True)
    # The least important logins get half of the window.
    assert admission.window == 4.0 and [admission.try_admit(0, 0.0) for _ in range(3)] == [
        True,
        True,
        False,
    ]
    admission.login_finished(False)
    assert admission.window == 2.0
    for _ in range(40):
        admission.login_finished(None)
    admission.set_cold_servers(0, [(0, 200.0)] * 4, 2)
    for _ in range(100):
        admission.login_finished(True)
    admitted = 0
    for at in range(0, 2 * SECOND, SECOND // 100):
        if admission.try_admit(at, 1.0):
            admission.login_finished(True)
            admitted += 1
    budget = 4 * 3.0 * 0.3 * 200 / 8 / 2  # logins per second, for this balancer's half
    assert 0.6 * budget * 2 < admitted < budget * 2 and not admission.unrestricted
    admission.clear_cold_servers()
    assert admission.unrestricted
    assert all(0 < retry_after(Random(at), SECOND, 1.0) < 0.7 * SECOND for at in range(50))


def test_simulated_power_losses_violate_no_rule():
    for seed in range(1, 13):
        seen = run_case(PowerLossCase.from_seed(seed))
        assert (
            not seen.rules
            and not seen.words_forgotten
            and not seen.words_invented
            and not seen.stuck
        ), seen
        assert seen.restored_s >= 0 and (seen.alone_on_a_lying_disk or not seen.placed_out), seen


def test_forty_balancers_recover_sooner_than_without_recovery_and_respect_overrides():
    day = PowerLossCase(3, seconds=20.0)
    mine, today = run_case(day), run_case(day, "today")
    assert not mine.placed_out and not mine.rules and today.placed_out > 20
    assert mine.restored_s < today.restored_s and mine.calls_of_one < 40


def test_exploration_of_a_small_fleet_finds_no_violation():
    shape = RecoveryShape()
    found = lab_explore.explore(
        lambda: lab_explore.make_world("recovery", shape._asdict()), 5, 3000
    )
    assert not found.what, found.trace
    found = lab_explore.random_walks(
        lambda: lab_explore.make_world("recovery", shape._asdict()), 300, 60, 1
    )
    assert not found.what, found.trace


def _trust_old_lists(monkeypatch):
    monkeypatch.setattr(
        recovery_facts.Facts, "is_leaving", lambda self, name, started_at, index: False
    )
    monkeypatch.setattr(
        Recovery, "update_drain", lambda self, now, name, started_at, index, leaving: leaving
    )


def _admit_in_every_phase(monkeypatch):
    monkeypatch.setattr(Recovery, "admit_login", lambda self, now, importance: None)


def _skip_queries(monkeypatch):
    monkeypatch.setattr(Recovery, "state_complete", property(lambda self: True))


def _acknowledge_before_write(monkeypatch):
    original = Recovery._persist

    def persist(self, facts, callback=lambda succeeded: None):
        callback(True)
        original(self, facts)

    monkeypatch.setattr(Recovery, "_persist", persist)


def _without_budget(monkeypatch):
    monkeypatch.setattr(
        recovery_core.AdmissionControl,
        "set_cold_servers",
        lambda self, now, servers, balancers: None,
    )


@pytest.mark.parametrize(
    "mutant", [_trust_old_lists, _admit_in_every_phase, _skip_queries, _acknowledge_before_write]
)
def test_mutants_are_detected(monkeypatch, mutant):
    mutant(monkeypatch)
    violations = 0
    for seed in range(1, 40):
        if mutant in (_skip_queries, _acknowledge_before_write):
            violations += bool(
                lab_explore.random_walks(
                    lambda: lab_explore.make_world("recovery", RecoveryShape()._asdict()),
                    100,
                    50,
                    seed,
                ).what
            )
        else:
            seen = run_case(PowerLossCase.from_seed(seed))
            violations += bool(
                seen.rules
                or seen.placed_out
                and not seen.alone_on_a_lying_disk
                or seen.words_forgotten
            )
        if violations:
            break
    assert violations


def test_admission_without_a_budget_is_detected(monkeypatch):
    _without_budget(monkeypatch)
    assert run_case(PowerLossCase(1, 100, 30, 300.0, 10.0, seconds=14.0)).fallen
