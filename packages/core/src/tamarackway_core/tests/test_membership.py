"""Tests of failure detection, election and advice."""

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
    ('heard', 'now_s', 'states'),
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
    heard: list[tuple[Member, float]],
    now_s: float,
    states: list[State],
) -> None:
    view = MembershipView()
    for member, heard_s in heard:
        view.record_heartbeat(member, heard_s)
    assert [member.state for member in view.list_members(now_s)] == states


def test_advice_prefers_near_then_idle_and_leaves_out_others() -> None:
    members = [
        _member('far', region='South'),
        _member('busy', rate=9),
        _member('idle', rate=1),
        _member('gone', state=State.DEAD),
        _member('going', state=State.LEAVING),
    ]
    ranked = rank_entries(members, Place('North', 'a'), {'South': 0.01})
    assert [advice.instance for advice in ranked] == ['idle', 'busy', 'far']
    few = rank_entries(members, Place('North', 'a'), {'South': 0.01}, 1)
    assert [advice.instance for advice in few] == ['idle']


@given(st.sets(st.text(), min_size=2), st.text(), st.data())
def test_election_moves_only_the_tasks_of_the_lost(
    names: set[str],
    task: str,
    data: st.DataObject,
) -> None:
    elected = elect(names, task)
    lost = data.draw(st.sampled_from(sorted(names)))
    if lost != elected:
        assert elect(names - {lost}, task) == elected
