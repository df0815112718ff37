"""Tests of failure detection, task assignment and ranking."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarackway_core.membership import (
    Member,
    MembershipView,
    elect,
    rank_entries,
)
from tamarackway_core.places import Instance, Place, State


def _member(
    name: str,
    region: str = 'North',
    incarnation: str = '1',
    state: State = State.LIVE,
    rate: float = 0,
) -> Member:
    instance = Instance(name, Place(region, 'a'), f'{name}:1', 'p', 'a')
    return Member(instance, incarnation, state, 1, rate)


@pytest.mark.parametrize(
    ('heartbeats', 'now_s', 'states'),
    [
        ([(_member('e1'), 0)], 1, [State.LIVE]),
        ([(_member('e1'), 0)], 2, [State.DEAD]),
        ([(_member('e1'), 0)], 61, []),
        (
            [(_member('e1', state=State.LEAVING), 0), (_member('e1'), 1)],
            1,
            [State.LEAVING],
        ),
        (
            [
                (_member('e1', state=State.LEAVING), 0),
                (_member('e1', incarnation='2'), 1),
            ],
            1,
            [State.LIVE],
        ),
        (
            [
                (_member('e1', incarnation='2'), 0),
                (_member('e1', incarnation='1', state=State.LEAVING), 1),
            ],
            1,
            [State.LIVE],
        ),
    ],
)
def test_state_follows_heartbeats(
    heartbeats: list[tuple[Member, float]],
    now_s: float,
    states: list[State],
) -> None:
    view = MembershipView()
    for member, received_s in heartbeats:
        view.record_heartbeat(member, received_s)
    assert [member.state for member in view.list_members(now_s)] == states


def test_ranking_prefers_near_then_idle_live_instances() -> None:
    members = [
        _member('far', region='South'),
        _member('busy', rate=9),
        _member('idle', rate=1),
        _member('dead', state=State.DEAD),
        _member('leaving', state=State.LEAVING),
    ]
    ranked = rank_entries(members, Place('North', 'a'), {'South': 0.01})
    assert [entry.instance for entry in ranked] == ['idle', 'busy', 'far']
    limited = rank_entries(members, Place('North', 'a'), {'South': 0.01}, 1)
    assert [entry.instance for entry in limited] == ['idle']


@given(st.sets(st.text(), min_size=2), st.text(), st.data())
def test_only_tasks_of_a_removed_instance_are_reassigned(
    names: set[str],
    task: str,
    data: st.DataObject,
) -> None:
    elected = elect(names, task)
    removed = data.draw(st.sampled_from(sorted(names)))
    if removed != elected:
        assert elect(names - {removed}, task) == elected
