"""Steps for look-ups and targets."""

import time

import anyio
from pytest_bdd import given, parsers, then, when

from tamarackway_bench.tests.loads import LookUp
from tamarackway_bench.tests.world import LOOK_UP, World

ANSWERED = 200


@given(parsers.parse('target {number:d} of status-lookup crosses its answers'))
def swap_responses(world: World, number: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    world.set_faults(target.name, crossed=True)


@given(
    parsers.parse('target {number:d} of status-lookup truncates its answers'),
)
def truncate_responses(world: World, number: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    world.set_faults(target.name, truncated=True)


@given(
    parsers.parse(
        'target {number:d} of status-lookup is {factor:d} times slower',
    ),
)
def slow_target(world: World, number: int, factor: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    world.set_faults(target.name, slow_factor=factor)


@when(
    parsers.parse(
        'a caller sends look-ups to entry instance {number:d} '
        'and leaves after {seconds:f} seconds',
    ),
)
def disconnect_early(world: World, number: int, seconds: float) -> None:
    async def send_and_disconnect() -> None:
        caller = world.fleet.caller()
        path = f'/v1/services/{LOOK_UP}/x'
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                for _ in range(6):
                    address = world.entry_address(number)
                    group.start_soon(caller.send, 'GET', address, path)
        await caller.close()

    world.call(send_and_disconnect)


@then('the targets of status-lookup were told of cancelled requests')
def check_cancellations(world: World) -> None:
    def count() -> int:
        return sum(
            world.fetch(target.node.address, '/health')['cancelled']
            for target in world.fleet.targets(LOOK_UP)
        )

    assert world.wait_until(lambda: count() > 0, 3)


@given(
    parsers.parse(
        'target {number:d} of status-lookup holds its answers back '
        'for {seconds:d} seconds',
    ),
)
def delay_responses(world: World, number: int, seconds: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    world.set_faults(target.name, late_s=seconds)


@when('look-ups are counted anew')
def start_counting(world: World) -> None:
    world.context['since_s'] = time.monotonic()


@when('a poisonous look-up is sent to each entry instance in turn')
def send_poison_requests(world: World) -> None:
    path = f'/v1/services/{LOOK_UP}/x?poison'
    for number in range(1, len(world.fleet.layout.entries) + 1):
        world.send(world.entry_address(number), path)


@when(
    parsers.parse('target {number:d} of status-lookup is leaving by {word}'),
)
def mark_leaving(world: World, number: int, word: str) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    if word == 'the sheet':
        drained = world.run_ctl('drain', target.name)
        assert drained.returncode == 0, drained.stderr
    elif word == 'the list':
        world.call(world.fleet.register_target, target, 'leaving')
    else:
        world.set_faults(target.name, leaving=True)


@then(parsers.parse('target {number:d} of status-lookup gets no new work'))
def check_no_new_work(world: World, number: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    before = world.fetch(target.node.address, '/health')['runs']
    time.sleep(2)
    after = world.fetch(target.node.address, '/health')['runs']
    assert after == before


@then('every look-up was answered')
def check_all_answered(world: World) -> None:
    failed = [
        (look_up.region, look_up.response)
        for look_up in _look_ups(world)
        if look_up.response.status != ANSWERED
    ]
    assert not failed, (len(failed), len(_look_ups(world)), failed[:3])
    assert len(_look_ups(world)) > 50


@then(parsers.parse('every look-up from outside {region} was answered'))
def check_all_answered_outside(world: World, region: str) -> None:
    since_s = world.context['since_s']
    counted = [
        look_up
        for look_up in _look_ups(world)
        if look_up.region != region and look_up.sent_s >= since_s
    ]
    failed = [
        look_up.response
        for look_up in counted
        if look_up.response.status != ANSWERED
    ]
    assert not failed, (len(failed), len(counted), failed[:3])
    assert len(counted) > 50


@then(parsers.parse('at least {count:d} look-ups were answered'))
def check_answered_count(world: World, count: int) -> None:
    answered = [
        look_up
        for look_up in _look_ups(world)
        if look_up.response.status == ANSWERED
    ]
    assert len(answered) >= count


@then('every answer belongs to its own request')
def check_responses_match_requests(world: World) -> None:
    for look_up in _look_ups(world):
        if look_up.response.status == ANSWERED:
            document = look_up.response.json()
            assert document['path'] == f'/{look_up.path}'
            assert document['request_id'] == look_up.response.request_id


@then(parsers.parse('at most {count:d} targets of status-lookup died'))
def check_dead_targets(world: World, count: int) -> None:
    dead = [
        target.name
        for target in world.fleet.targets(LOOK_UP)
        if not world.fleet.is_running(target.name)
    ]
    assert 0 < len(dead) <= count, dead


@then('an ordinary look-up is answered')
def check_ordinary_look_up(world: World) -> None:
    response = world.send(world.entry_address(2), f'/v1/services/{LOOK_UP}/x')
    assert response.status == ANSWERED, response


def _look_ups(world: World) -> list[LookUp]:
    world.stop_loads()
    return list(world.look_ups.look_ups) if world.look_ups else []
