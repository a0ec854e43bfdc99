"""Tests of what balancers know of the positions of each other's stores.

A store that went back to an older copy is revealed by a peer that was told a later position.
"""

from test_recovery import Host, override, serving_host, state_reply

from corklift.recovery.facts import MARKER
from corklift.recovery.messages import Marker, Replicate, ReplicateReply, StateRequest


def test_a_rolled_back_store_is_revealed_after_it_has_been_written_to_again():
    host = Host()
    core = host.load()  # at position 9
    for sequence in range(10, 14):  # the writes of this start come before any reply of a peer
        core.persisted(0, 0, sequence, "")
    core.members_changed(0, ["b2", "b3"], True)
    for _, _, message in host.state_requests:
        # Otherwise a peer would take it for the position that it knows from before.
        assert message.marker == Marker(b"mine", 9)
    # b3 asks first: its own query must not replace what it knows from before either.
    assert core.state_requested(0, StateRequest("b3", 5, Marker(), 0, False)).marker == Marker(
        b"mine", 9
    )
    core.reply_received(0, host.state_requests[0][0], state_reply())
    assert not core.behind
    core.reply_received(
        0,
        host.state_requests[1][0],
        state_reply(sender="b3", requester_marker=Marker(b"mine", 12)),
    )
    assert core.behind and host.logs.count("behind") == 1


def test_positions_that_this_process_told_do_not_count_as_a_roll_back():
    host, core = serving_host()
    core.set_out_of_service(0, "s1", True, lambda *outcome: None)
    host.finish_writes()
    told = {name: message.marker for _, name, message in host.replications}
    core.replicate_received(
        0,
        Replicate("b2", 2, Marker(b"b2", 4), (override("s1", 5, True, "b2"),)),
        lambda reply: None,
    )
    host.finish_writes()
    for name in ("b2", "b3", "b4", "b5"):
        before = len(host.state_requests)
        core._request_state(0, name, False)
        number, _, message = host.state_requests[before]
        core.reply_received(
            0, number, state_reply(sender=name, lived_through=True, requester_marker=told[name])
        )
        # The reply was lost, and the peer is asked the same again.
        core._request_state(0, name, False)
        core.reply_received(
            0,
            host.state_requests[before + 1][0],
            state_reply(sender=name, lived_through=True, requester_marker=message.marker),
        )
    assert not core.behind and "behind" not in host.logs
    assert core.own_marker == Marker(b"mine", 10)


def test_a_peer_keeps_the_highest_position_that_it_knows_of_a_store():
    host, core = serving_host()
    for sequence in (12, 4):
        core.replicate_received(
            0,
            Replicate("b2", 2, Marker(b"b2", sequence), (override("s1", 5, True, "b2"),)),
            lambda reply: None,
        )
    stored = [fact for _, facts in host.writes for fact in facts if fact.kind == MARKER]
    assert [fact.value for fact in stored] == [[b"b2", 12]] * 2
    core.set_out_of_service(0, "s2", True, lambda *outcome: None)
    number = next(number for number, name, _ in host.replications if name == "b2")
    core.replicate_reply_received(0, number, ReplicateReply(True, (), Marker(b"b2", 5)))
    core._request_state(0, "b2", False)
    core.reply_received(0, host.state_requests[-1][0], state_reply())  # its store is not loaded yet

    def known():
        return core.state_requested(0, StateRequest("b2", 2, Marker(), 0, True)).requester_marker

    assert known() == Marker(b"b2", 12)
    core.replicate_received(
        0, Replicate("b2", 3, Marker(b"replaced", 1), (override("s1", 6),)), lambda reply: None
    )
    assert known() == Marker(b"replaced", 1)
