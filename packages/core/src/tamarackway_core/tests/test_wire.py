"""Tests of the codec for messages between entry instances."""

import contextlib
import math
from typing import Any

import cbor2
import msgspec
import pytest
from hypothesis import given, settings, strategies

from tamarackway_core.errors import Reason, Refusal, WireError
from tamarackway_core.limits import TargetRateLimit
from tamarackway_core.membership import Member
from tamarackway_core.once import Outcome, Response, RunResult
from tamarackway_core.places import Instance, Place, State
from tamarackway_core.quarantine import Loss
from tamarackway_core.sheet import AcceptedPlan
from tamarackway_core.steering import LeavingTarget, OutdatedTarget
from tamarackway_core.tests.fuzzing import FUZZING
from tamarackway_core.wire import (
    ConfigurationReply,
    ConfigurationRequest,
    Envelope,
    ExplainReply,
    FleetBeat,
    Heartbeat,
    JoinReply,
    LossReport,
    Message,
    Ok,
    PlanPush,
    PlanReply,
    RowsRelay,
    StoredRow,
    decode,
    encode,
)

INSTANCE = Instance('e1', Place('North', 'a'), 'a:1', 'b:2', 'c:3')
PLAN = AcceptedPlan(3, 'd', 'ann', 1.5, 'row\n')


@pytest.mark.parametrize(
    'message',
    [
        Heartbeat(Member(INSTANCE, 'i', State.LEAVING, 3, 1.5, {'s': 2})),
        PlanPush(PLAN, {'s/North': 0.5}),
        PlanReply(None),
        PlanReply(PlanPush(PLAN, {})),
        JoinReply(RunResult(Outcome.RAN, Response(200, 'text/x', b'\x00\xff'))),
        JoinReply(
            RunResult(Outcome.NOT_RUN, refusal=Refusal(Reason.DEADLINE)),
        ),
        LossReport(Loss('f', 't1', 2)),
        ExplainReply(('one', 'two')),
        FleetBeat(
            'e1',
            None,
            {'t': 7},
            {'t': 0.5},
            store_answers=True,
            rates={'s': 2.5},
            known_from={'t': 3},
            rate_limits=(
                TargetRateLimit('t1', 2, 8.25, 0.5),
                TargetRateLimit('t2', 2, math.inf, 0.5),
            ),
            leaving_targets=(LeavingTarget('t1', 2),),
            histories={'t': 2},
            outdated_targets=(OutdatedTarget('t1', 2, 9),),
            held_evacuations_s={'east-a': 4.5},
            unreachable_services=('s',),
            configuration=12,
            configuration_written_in=2,
        ),
        ConfigurationRequest(),
        ConfigurationReply(b'\x00', 2),
        RowsRelay('t', 1, 2, (StoredRow('k', b'x', 2),), history=3),
        Ok(),
    ],
)
def test_decoding_restores_an_encoded_message(message: Message) -> None:
    assert decode(encode(Envelope(7, message))) == Envelope(7, message)


# Instances of two releases run side by side during an update.
@pytest.mark.parametrize(
    ('present', 'absent'),
    [
        ('later', ''),
        ('', 'leaving_targets'),
        ('', 'histories'),
        ('', 'unreachable_services'),
    ],
)
def test_heartbeat_of_another_release_is_decoded(
    present: str, absent: str
) -> None:
    beat = FleetBeat('e1', None, {}, {}, store_answers=True, rates={})
    body = msgspec.to_builtins(beat)
    body[present] = [{'name': 't'}]
    body.pop(absent, None)
    frame = cbor2.dumps([7, 'FleetBeat', body])
    assert decode(frame) == Envelope(7, beat)


@pytest.mark.parametrize(
    'frame',
    [
        b'',
        b'\xff\xff',
        b'\x9f' * 5000,
        cbor2.dumps('text'),
        cbor2.dumps([1, 'Heartbeat']),
        cbor2.dumps([1, 'Unknown', {}]),
        cbor2.dumps(['1', 'Ok', {}]),
        cbor2.dumps([1, 'LossReport', {'fingerprint': 3}]),
        cbor2.dumps([1, 'JoinReply', {'run': {'outcome': 'maybe'}}]),
    ],
)
def test_invalid_frames_raise_a_wire_error(frame: bytes) -> None:
    with pytest.raises(WireError):
        decode(frame)


MEMBER = {
    'name': 'e1',
    'incarnation': '1',
    'region': 'east',
    'failure_domain': 'east-a',
    'callers': '127.0.0.1:1',
    'peers': '127.0.0.1:2',
}
BEAT = {
    'name': 'e1',
    'member': MEMBER,
    'positions': {'t': 7},
    'ages_s': {'t': 0.5},
    'store_answers': True,
    'rates': {'s': 2.5},
    'leaving_targets': [{'name': 't', 'incarnation': 1}],
    'histories': {'t': 1},
    'outdated_targets': [{'name': 't', 'incarnation': 1, 'sequence': 2}],
    'held_evacuations_s': {'east-a': 1.5},
    'losses': [{'fingerprint': 'f', 'target': 't', 'incarnation': 1}],
    'rate_limits': [
        {'target': 't', 'incarnation': 1, 'total_per_s': 2, 'age_s': 0.5}
    ],
}
RELAY = {
    'table': 't',
    'after': 1,
    'position': 2,
    'rows': [{'key': 'k', 'content': b'x', 'version': 2}],
}


def replace_part(document: Any, path: str, part: Any) -> Any:
    """Return a copy of a document with the part at a path replaced."""
    name, _, rest = path.partition('.')
    if not name:
        return part
    if isinstance(document, list):
        return [replace_part(item, path, part) for item in document]
    return {**document, name: replace_part(document.get(name), rest, part)}


@pytest.mark.parametrize(
    ('kind', 'document', 'path'),
    [
        ('FleetBeat', BEAT, 'positions.t'),
        ('FleetBeat', BEAT, 'ages_s.t'),
        ('FleetBeat', BEAT, 'rates.s'),
        ('FleetBeat', BEAT, 'histories.t'),
        ('FleetBeat', BEAT, 'outdated_targets.sequence'),
        ('FleetBeat', BEAT, 'held_evacuations_s.east-a'),
        ('FleetBeat', BEAT, 'configuration'),
        ('FleetBeat', BEAT, 'known_from'),
        ('FleetBeat', BEAT, 'losses.incarnation'),
        ('FleetBeat', BEAT, 'rate_limits.incarnation'),
        ('FleetBeat', BEAT, 'rate_limits.total_per_s'),
        ('FleetBeat', BEAT, 'rate_limits.age_s'),
        ('FleetBeat', BEAT, 'leaving_targets.incarnation'),
        ('FleetBeat', BEAT, 'member.peers'),
        ('FleetBeat', BEAT, 'member.callers'),
        ('RowsRelay', RELAY, 'after'),
        ('RowsRelay', RELAY, 'position'),
        ('RowsRelay', RELAY, 'rows.version'),
    ],
)
@pytest.mark.parametrize(
    'odd', [-1, math.nan, -math.inf, 10**400, 'x', '127.0.0.1:70000', []]
)
def test_message_out_of_bounds_raises_a_wire_error(
    kind: str, document: Any, path: str, odd: Any
) -> None:
    decode(cbor2.dumps([1, kind, document]))
    changed = replace_part(document, path, odd)
    with pytest.raises(WireError):
        decode(cbor2.dumps([1, kind, changed]))


@settings(FUZZING, max_examples=500)
@given(strategies.binary(max_size=60))
def test_random_frame_raises_nothing_but_a_wire_error(frame: bytes) -> None:
    with contextlib.suppress(WireError):
        decode(frame)
