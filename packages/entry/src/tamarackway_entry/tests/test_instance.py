"""Tests of what an instance exchanges with its peers in heartbeats."""

import random
from dataclasses import replace

import pytest
from tamarackway_core.places import Address, Place
from tamarackway_core.quarantine import Loss
from tamarackway_core.steering import TargetRecord

from tamarackway_entry.following import FollowService
from tamarackway_entry.forwarding import SteeringBounds, SteeringState
from tamarackway_entry.instance import EntryInstance
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.tests.test_fleet import build_member
from tamarackway_entry.tests.test_following import (
    FakeSink,
    FakeStore,
    ManualClock,
)

TARGET = TargetRecord(
    't', 1, 's', Place('east', 'east-a'), Address('127.0.0.1', 80), 3
)


def build_instance(
    name: str, clock: ManualClock
) -> tuple[EntryInstance, SteeringState]:
    state = SteeringState('east', SteeringBounds())
    state.catalogue.put(TARGET, clock.now_s())
    follow = FollowService(
        ('t',), FakeStore(), FakeSink(), clock, random.Random(1)
    )
    own = build_member(name)
    return EntryInstance(own, state, follow, Lifecycle(clock), clock), state


# Guards against requests of peers to a target that has told one instance that
# it is leaving.
def test_peer_learns_that_a_target_is_leaving() -> None:
    clock = ManualClock()
    told, told_state = build_instance('i1', clock)
    peer, peer_state = build_instance('i2', clock)
    told_state.catalogue.mark_leaving('t', 1, clock.now_s(), from_peer=False)
    peer.handle_heartbeat(told.build_heartbeat(), build_member('i1'))
    assert not peer_state.catalogue.is_usable('t')
    assert not peer.build_heartbeat().leaving_targets


# Guards against a new instance that sends requests to a target which has left,
# since the restored store still lists it, and against instances that tell each
# other so without end.
def test_peer_learns_that_a_record_is_outdated() -> None:
    clock = ManualClock()
    knowing, knowing_state = build_instance('i1', clock)
    added, added_state = build_instance('i2', clock)
    knowing_state.catalogue.remove('t')
    knowing_state.catalogue.put(TARGET, clock.now_s(), is_copy=True)
    for _ in range(3):
        clock.moment_s += 1
        added.handle_heartbeat(knowing.build_heartbeat(), build_member('i1'))
        assert not added_state.catalogue.is_usable('t')
        assert not added.build_heartbeat().outdated_targets
    clock.moment_s += 20
    assert not knowing.build_heartbeat().outdated_targets
    for state in (knowing_state, added_state):
        state.catalogue.adopt_older(clock.now_s())
        assert state.catalogue.is_usable('t')


# Guards against a request that crashes targets again after each restart, since
# heartbeats tell only of the losses of the last seconds.
@pytest.mark.parametrize('age_s', [0.5, 60, 500])
def test_new_instance_learns_of_earlier_losses(age_s: float) -> None:
    clock = ManualClock()
    knowing, knowing_state = build_instance('i1', clock)
    added, added_state = build_instance('i2', clock)
    for name in ('t1', 't2'):
        knowing_state.quarantine.report(Loss('f', name, 1), clock.now_s())
    clock.moment_s += age_s
    heartbeat = knowing.build_heartbeat()
    added.handle_heartbeat(heartbeat, build_member('i1'))
    if added.lacks_losses(heartbeat):
        added.apply_losses(knowing.build_losses_reply())
    assert added_state.quarantine.is_quarantined('f', clock.now_s())
    assert not added.lacks_losses(heartbeat)
    clock.moment_s += 601 - age_s
    assert not added_state.quarantine.is_quarantined('f', clock.now_s())


# Guards against instances of an earlier release that count refuted losses, and
# against losses of theirs that are not believed.
def test_losses_are_exchanged_with_an_earlier_release() -> None:
    clock = ManualClock()
    own, state = build_instance('i1', clock)
    losses = (Loss('f', 't1', 1), Loss('f', 't2', 1))
    earlier = replace(own.build_heartbeat(), loss_digest='', losses=losses)
    own.handle_heartbeat(earlier, build_member('i2'))
    assert not own.lacks_losses(earlier)
    assert state.quarantine.is_quarantined('f', clock.now_s())
    assert own.build_heartbeat().losses == losses
    state.quarantine.record_completion('f', clock.now_s())
    own.handle_heartbeat(earlier, build_member('i2'))
    assert not state.quarantine.is_quarantined('f', clock.now_s())
    assert not own.build_heartbeat().losses
