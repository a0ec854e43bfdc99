"""Recovery: what is believed, who is asked, in which order service returns; days of power loss in virtual time, and every order of a small one."""

from random import Random

import pytest

from corklift.interface import ColdRule
from corklift.lab import explore as lab_explore
from corklift.lab.explore_recovery import Returns
from corklift.lab.power import Day, play
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
        self.asks, self.tells, self.keeps, self.steps, self.out, self.logs, self.relists = (
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

    def request_state(self, number, name, message, until):
        self.asks.append((number, name, message))

    def replicate(self, number, name, message, until):
        self.tells.append((number, name, message))

    def persist(self, number, facts):
        self.keeps.append((number, facts))

    def delete_persisted(self, facts):
        self.forgotten = [*getattr(self, "forgotten", []), *facts]

    def apply_recovered(self, out, put_back):
        self.out = self.out - put_back | out

    def probe_servers(self, span):
        pass

    def reapply_list(self):
        self.relists += 1

    def server_start_times(self):
        return {"s1": 7}

    def phase_changed(self, step, why):
        self.steps.append(step)

    def log(self, what, **fields):
        self.logs.append(what)

    def read(self, *facts, now=0, boot="one", clean=False, fresh=False, **more):
        given = [] if fresh else [Fact(ENDED, "", (1,), [boot, clean], "b1"), *facts]
        self.core.store_loaded(now, given, Marker(b"mine", 9), fresh, **more)
        return self.core

    def kept(self, fine=True):
        for number, _ in self.keeps:
            self.core.persisted(0, number, 10, "" if fine else "disk full")
        self.keeps = []


def answer(
    *facts,
    lived=False,
    remembers=True,
    name="b2",
    yours=Marker(),
    hows=None,
    ages=None,
    power_lost=False,
):
    return StateReply(
        name,
        2,
        lived,
        facts,
        tuple(hows or [Provenance.READ] * len(facts)),
        Marker(),
        yours,
        ages or {},
        remembers,
        power_lost,
    )


def out(server, number, value=True, by="b1"):
    return Fact(OUT, server, (number,), value, by)


def test_the_higher_number_wins_per_fact_whatever_came_when():
    facts = Facts()
    assert facts.merge(out("s1", 3), Provenance.READ) and not facts.merge(
        out("s1", 2, False), Provenance.LIVE
    )
    assert facts.out_of_service() == {"s1"} and facts.provenance(OUT, "s1") is Provenance.READ
    assert (
        not facts.merge(out("s1", 3), Provenance.LIVE)
        and facts.provenance(OUT, "s1") is Provenance.LIVE
    )
    assert facts.merge(out("s1", 4, False), Provenance.HEARD) and facts.out_of_service() == set()
    assert facts.merge(
        out("s1", 4, True, by="b9"), Provenance.HEARD
    )  # of two at once the name decides, at all alike
    other = Facts()
    for fact in (out("s1", 4, True, by="b9"), out("s1", 4, False), out("s1", 3)):
        other.merge(fact, Provenance.HEARD)
    assert other.digest == facts.digest and other.out_of_service() == facts.out_of_service()


def test_a_drain_holds_against_an_older_list_and_ends_by_a_newer_one_or_a_new_start():
    core = Host().read()
    assert core.update_drain(0, "s1", 0, 10, True)
    assert core.update_drain(0, "s1", 0, 9, False)  # of before
    assert core.update_drain(0, "s1", 0, 10, False)
    assert not core.update_drain(0, "s1", 0, 11, False) and not core.facts.is_leaving("s1", 0, 11)
    assert core.update_drain(0, "s2", 500, 10, True)
    assert core.update_drain(0, "s2", 400, 12, False)  # told of an earlier process under that name
    assert not core.update_drain(0, "s2", 600, 3, False)  # a new one: its list may number from one


def test_drains_of_servers_that_are_gone_end_with_age_and_none_other():
    host = Host()
    core = host.read()
    core.config = core.config._replace(max_gone_drains=3)
    for at in range(6):
        core.update_drain(0, f"s{at}", 0, 10 + at, True)
    core.list_received(0, [StoredServer("s0", "10.0.0.1", 1, "", "", 0, 2, 1.0)], 30)
    assert [fact.name for fact in host.forgotten] == ["s1", "s2"]
    assert (
        core.facts.is_leaving("s0", 0, 9)
        and core.facts.is_leaving("s5", 0, 9)
        and not core.facts.is_leaving("s1", 0, 9)
    )


def test_what_is_never_believed_is_never_kept():
    assert {name for name, (trust, _) in KINDS.items() if trust is Trust.NEVER} == {
        "connections",
        "health",
        "cold",
    }
    for fact in (out("s1", 3), Fact(DRAIN, "s", (0, 3), True), Fact(COUNT, "", (1,), 9)):
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


def test_incarnation_goes_on_above_the_disks():
    core = Host().read(Fact(SELF, "", (4,), [7, 3]))
    assert core.next_incarnation == (8, 4)
    assert Host().read(fresh=True).next_incarnation == (0, 1)


def test_from_the_first_moment_each_login_is_let_in_or_refused_with_a_time():
    host = Host()
    core = host.core
    waits = [core.admit_login(0, importance) for importance in [0.0] * 300 + [1.0] * 300]
    assert all(0 < wait <= SECOND for wait in waits)
    assert sum(waits[:300]) > sum(waits[300:])  # what matters most is told to come sooner
    host.read()
    core.members_changed(0, ["b2", "b3", "b4"], True)
    for number, name, _ in list(host.asks):
        core.reply_received(0, number, answer(name=name))
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


def test_a_disk_that_does_not_answer_is_not_waited_for_and_heard_late_all_the_same():
    host = Host()
    core = host.core
    assert core.tick(SECOND) and core.phase is RecoveryPhase.READ
    core.tick(4 * SECOND)
    assert core.phase is RecoveryPhase.ASK and core.store_error
    host.read(out("s1", 3), now=9 * SECOND)
    assert host.out == {"s1"}


def test_who_is_asked_and_what_ends_the_question():
    host = Host(expected=40)
    host.read()
    host.core.members_changed(0, [f"b{number}" for number in range(2, 41)], True)
    assert len(host.asks) == 3  # a few, not all
    for number, name, _ in list(host.asks):
        host.core.request_failed(0, number)
    assert len(host.asks) == 6 and host.core.phase is RecoveryPhase.ASK
    for number, name, _ in host.asks[3:]:
        host.core.reply_received(0, number, answer(name=name, remembers=False))
    assert (
        host.core.phase is RecoveryPhase.ASK
    )  # those that remember nothing can't say that there was nothing
    for number, name, _ in host.asks[6:]:
        host.core.reply_received(0, number, answer(name=name))
    assert host.core.phase is RecoveryPhase.LOOK and host.core.state_complete


def test_one_alone_ends_its_question_by_a_bound_unless_it_remembers_nothing():
    host = Host()
    host.read()
    host.core.members_changed(0, [], True)
    host.core.tick(4 * SECOND)
    assert host.core.phase is RecoveryPhase.ASK
    host.core.tick(6 * SECOND)
    assert host.core.phase is RecoveryPhase.LOOK and not host.core.state_complete
    stopped = Host()
    stopped.read(clean=True)
    stopped.core.members_changed(0, [], True)
    stopped.core.tick(3 * SECOND)
    assert stopped.core.phase is RecoveryPhase.LOOK
    empty = Host()
    empty.read(fresh=True)
    empty.core.members_changed(0, [], True)
    empty.core.tick(600 * SECOND)
    assert empty.core.phase is RecoveryPhase.ASK
    for act in (
        lambda core: core.store_unreadable(0, "StoreInUseError"),
        lambda core: core.tick(4 * SECOND),
    ):  # in use elsewhere; stalled
        unread = Host()
        act(unread.core)
        unread.core.members_changed(5 * SECOND, [], True)
        unread.core.tick(600 * SECOND)
        assert unread.core.phase is RecoveryPhase.ASK
    alone = Host(alone=True)
    alone.read(fresh=True)
    assert alone.core.phase is RecoveryPhase.LOOK


def test_two_that_have_only_read_do_not_confirm_each_other():
    host = Host(expected=3)
    core = host.read()
    core.members_changed(0, ["b2", "b3"], True)
    core.reply_received(0, host.asks[0][0], answer(out("s1", 3), hows=[Provenance.LIVE]))
    assert (
        host.out == {"s1"}
        and core.facts.provenance(OUT, "s1") is Provenance.HEARD
        and not core.live_peer_replied
    )
    told = core.state_requested(0, StateRequest("b3", 5, Marker(), 0, True))
    assert (
        not told.lived_through
        and not told.start_times
        and told.provenances[[fact.kind for fact in told.facts].index(OUT)] == Provenance.HEARD
    )
    core.reply_received(
        0,
        host.asks[1][0],
        answer(out("s1", 4, False), lived=True, hows=[Provenance.LIVE], ages={"s1": 5}),
    )
    assert (
        core.live_peer_replied
        and host.out == set()
        and core.facts.provenance(OUT, "s1") is Provenance.LIVE
    )


def test_a_disk_that_went_back_is_shown_by_a_peer_and_made_good_by_one_that_lived():
    host = Host()
    core = host.read()
    core.members_changed(0, ["b2", "b3"], True)
    core.reply_received(0, host.asks[0][0], answer(yours=Marker(b"mine", 12)))
    assert core.store_behind and "behind" in host.logs
    core.reply_received(0, host.asks[1][0], answer(name="b3", lived=True))
    assert not core.store_behind and "made good" in host.logs
    other = Host()
    other.read().members_changed(0, ["b2"], True)
    other.core.reply_received(0, other.asks[0][0], answer(yours=Marker(b"another", 1)))
    assert other.core.store_behind  # emptied, or put in from elsewhere


def ready(living=("b2", "b3", "b4", "b5")):
    host = Host()
    core = host.read()
    core.members_changed(0, list(living), True)
    for number, name, _ in list(host.asks):
        core.reply_received(0, number, answer(name=name, lived=True))
    core.servers_probed(0, ["s1"], True)
    assert core.phase is RecoveryPhase.FULL
    host.kept()
    host.tells.clear()
    return host, core


def test_a_yes_means_that_enough_disks_have_the_word():
    host, core = ready()
    said = []
    core.set_out_of_service(0, "s1", True, lambda *told: said.append(told))
    assert host.out == {"s1"} and len(host.tells) == 4 and not said  # in force at once
    host.kept()
    assert not said
    core.replicate_reply_received(
        0, host.tells[0][0], ReplicateReply(False)
    )  # it knows, its disk does not
    core.replicate_reply_received(0, host.tells[1][0], ReplicateReply(True))
    assert not said
    core.replicate_reply_received(0, host.tells[2][0], ReplicateReply(True))
    assert said == [(ReplicationOutcome.KEPT, 3, 3)]
    core.replicate_reply_received(0, host.tells[3][0], None)
    assert said == [(ReplicationOutcome.KEPT, 3, 3)]


@pytest.mark.parametrize(
    "fine, answers, kept",
    [(False, [ReplicateReply(True), None, None, None], 1), (True, [None] * 4, 1)],
)
def test_no_yes_where_too_few_have_it(fine, answers, kept):
    host, core = ready()
    said = []
    core.set_out_of_service(0, "s1", True, lambda *told: said.append(told))
    host.kept(fine)
    for (number, _, _), told in zip(host.tells, answers):
        core.replicate_reply_received(0, number, told)
    assert said == [(ReplicationOutcome.PARTLY, kept, 3)] and bool(core.store_error) is not fine
    host, core = ready()
    core.set_out_of_service(0, "s1", True, lambda *told: said.append(told))
    core.tick(6 * SECOND)  # a disk and peers that say nothing at all
    assert said[-1][0] is ReplicationOutcome.PARTLY


def test_a_word_said_from_old_knowledge_is_said_anew_above_what_others_hold():
    host, core = ready()
    said = []
    core.set_out_of_service(0, "s1", False, lambda *told: said.append(told))
    host.kept()
    core.replicate_reply_received(
        0, host.tells[0][0], ReplicateReply(True, (out("s1", 7, True, "b9"),))
    )
    assert core.facts.get(OUT, "s1").version == (8,) and host.out == set()
    host.kept()
    for number, _, message in host.tells:
        if message.facts[0].version == (8,):
            core.replicate_reply_received(0, number, ReplicateReply(True))
    assert said and said[-1][0] is ReplicationOutcome.KEPT


def test_a_peer_is_answered_once_its_word_is_on_this_disk():
    host, core = ready()
    said = []
    core.replicate_received(
        0, Replicate("b2", 2, Marker(b"b2", 4), (out("s1", 5, True, "b2"),)), said.append
    )
    assert host.out == {"s1"} and not said
    host.kept()
    assert said == [ReplicateReply(True, (), Marker(b"mine", 10))]
    core.replicate_received(
        0, Replicate("b2", 2, Marker(b"b2", 4), (out("s1", 4, False, "b2"),)), said.append
    )
    host.kept(False)
    assert said[1].newer[0].version == (5,) and not said[1].persisted and host.out == {"s1"}
    assert core.state_requested(
        0, StateRequest("b2", 2, Marker(b"b2", 4), 0, True)
    ).requester_marker == Marker(b"b2", 4)


def test_after_a_loss_of_power_servers_are_as_old_as_their_first_answer():
    host = Host(boot="two")
    core = host.read(boot="one")
    assert core.power_lost
    taken = core.effective_start(10 * SECOND, "s1", 5)
    assert taken >= 10 * SECOND
    before = host.relists
    core.server_answered(taken - 1, "s1")
    assert host.relists == before and core.effective_start(20 * SECOND, "s1", 5) == taken
    core.effective_start(10 * SECOND, "s2", 5)
    core.server_answered(15 * SECOND, "s2")
    assert host.relists == before + 1 and core.effective_start(20 * SECOND, "s2", 5) == 15 * SECOND
    core.members_changed(0, ["b2"], True)
    core.reply_received(0, host.asks[0][0], answer(lived=True, ages={"s1": 3}))
    assert core.effective_start(20 * SECOND, "s1", 2) == 3  # one that lived knows
    assert (
        core.effective_start(20 * SECOND, "s3", 90 * SECOND) == 20 * SECOND
    )  # a clock that is ahead
    assert not Host().read().power_lost  # killed, on a machine that did not boot
    emptied = Host(boot="two")
    emptied.read(fresh=True)
    emptied.core.members_changed(0, ["b2"], True)
    emptied.core.reply_received(0, emptied.asks[0][0], answer(power_lost=True))
    assert emptied.core.power_lost  # it hears so from one that remembers


def test_a_server_that_lost_what_it_held_began_anew():
    host, core = ready()
    core.server_answered(10 * SECOND, "s1", 40.0)
    core.server_answered(11 * SECOND, "s1", 2.0)  # its clients left: it has answered all along
    before = host.relists
    core.server_answered(12 * SECOND, "s1", 40.0)
    core.server_unresponsive(13 * SECOND, "s1")
    core.server_answered(13 * SECOND, "s1", 35.0)  # only late
    assert host.relists == before
    core.server_unresponsive(14 * SECOND, "s1")
    core.server_answered(15 * SECOND, "s1", 1.0)
    assert host.relists == before + 1 and core.effective_start(16 * SECOND, "s1", 5) == 15 * SECOND


def test_servers_back_within_two_seconds_that_no_list_tells_of():
    fallen = {
        kind: sum(
            play(Day(seed, 4, 8, 40.0, 10.0, seconds=30.0, unlisted=8), kind).fallen
            for seed in range(4)
        )
        for kind in ("serve", "today")
    }
    assert fallen["serve"] == 0 and fallen["today"] >= 4


def test_the_door_follows_what_servers_show_and_what_cold_ones_bear():
    admission = AdmissionControl(0, RULE, 4, 2)
    assert admission.window == 2.0
    assert (
        admission.try_admit(0, 1.0)
        and admission.try_admit(0, 1.0)
        and not admission.try_admit(0, 1.0)
    )
    admission.login_finished(True)
    admission.login_finished(True)
    assert admission.window == 4.0 and [admission.try_admit(0, 0.0) for _ in range(3)] == [
        True,
        True,
        False,
    ]  # least importance: half of it
    admission.login_finished(False)
    assert admission.window == 2.0
    for _ in range(40):
        admission.login_finished(None)
    admission.set_cold_servers(0, [(0, 200.0)] * 4, 2)
    for _ in range(100):
        admission.login_finished(True)
    passed = 0
    for at in range(0, 2 * SECOND, SECOND // 100):
        if admission.try_admit(at, 1.0):
            admission.login_finished(True)
            passed += 1
    bears = 4 * 3.0 * 0.3 * 200 / 8 / 2  # a second, this balancer's half
    assert 0.6 * bears * 2 < passed < bears * 2 and not admission.unrestricted
    admission.clear_cold_servers()
    assert admission.unrestricted
    assert all(0 < retry_after(Random(at), SECOND, 1.0) < 0.7 * SECOND for at in range(50))


def test_days_of_power_loss():
    for seed in range(1, 13):
        seen = play(Day.drawn(seed))
        assert (
            not seen.rules
            and not seen.words_forgotten
            and not seen.words_invented
            and not seen.stuck
        ), seen
        assert seen.restored_s >= 0 and (seen.alone_on_a_lying_disk or not seen.placed_out), seen


def test_forty_balancers_come_back_sooner_than_todays_and_place_nothing_at_a_server_out():
    day = Day(3, seconds=20.0)
    mine, today = play(day), play(day, "today")
    assert not mine.placed_out and not mine.rules and today.placed_out > 20
    assert mine.restored_s < today.restored_s and mine.calls_of_one < 40


def test_every_order_of_a_small_loss_and_walks_through_more():
    shape = Returns()
    found = lab_explore.explore(lambda: lab_explore.world("recovery", shape._asdict()), 5, 3000)
    assert not found.what, found.trace
    found = lab_explore.wander(lambda: lab_explore.world("recovery", shape._asdict()), 300, 60, 1)
    assert not found.what, found.trace


def _old_answer_taken_for_live(monkeypatch):
    monkeypatch.setattr(
        recovery_facts.Facts, "is_leaving", lambda self, name, started_at, index: False
    )
    monkeypatch.setattr(
        Recovery, "update_drain", lambda self, now, name, started_at, index, leaving: leaving
    )


def _steps_skipped(monkeypatch):
    monkeypatch.setattr(Recovery, "admit_login", lambda self, now, importance: None)


def _words_not_asked(monkeypatch):
    monkeypatch.setattr(Recovery, "state_complete", property(lambda self: True))


def _yes_before_the_disk(monkeypatch):
    plain = Recovery._persist

    def keep(self, facts, done=lambda fine: None):
        done(True)
        plain(self, facts)

    monkeypatch.setattr(Recovery, "_persist", keep)


def _budget_left_out(monkeypatch):
    monkeypatch.setattr(
        recovery_core.AdmissionControl,
        "set_cold_servers",
        lambda self, now, servers, balancers: None,
    )


@pytest.mark.parametrize(
    "fault", [_old_answer_taken_for_live, _steps_skipped, _words_not_asked, _yes_before_the_disk]
)
def test_deliberate_faults_are_found(monkeypatch, fault):
    fault(monkeypatch)
    wrong = 0
    for seed in range(1, 40):
        if fault in (_words_not_asked, _yes_before_the_disk):
            wrong += bool(
                lab_explore.wander(
                    lambda: lab_explore.world("recovery", Returns()._asdict()), 100, 50, seed
                ).what
            )
        else:
            seen = play(Day.drawn(seed))
            wrong += bool(
                seen.rules
                or seen.placed_out
                and not seen.alone_on_a_lying_disk
                or seen.words_forgotten
            )
        if wrong:
            break
    assert wrong


def test_a_door_without_a_budget_is_found(monkeypatch):
    _budget_left_out(monkeypatch)
    assert play(Day(1, 100, 30, 300.0, 10.0, seconds=14.0)).fallen
