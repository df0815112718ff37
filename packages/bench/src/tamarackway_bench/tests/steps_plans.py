"""Steps about sheets and the plan in force."""

import threading
import time

from pytest_bdd import parsers, then, when

from tamarackway_bench.fleet import Reply
from tamarackway_bench.tests.world import LOOK_UP, World


@when('the sheet is submitted with 70 percent for Moravia')
def submit_changed(world: World) -> None:
    submitted = world.ctl('plan', 'submit', '-', stdin=_change(world, 70))
    assert submitted.returncode == 0, submitted.stderr


@when('the table loses its answers for 1 second while the sheet is submitted')
def submit_in_doubt(world: World) -> None:
    world.set_faults('table', lose_answers=True)
    mend = threading.Timer(
        1,
        world.set_faults,
        ('table',),
        {'lose_answers': False},
    )
    mend.start()
    sheet = _change(world, 70)
    world.notes['submitted'] = world.ctl('plan', 'submit', '-', stdin=sheet)
    mend.join()


@when('two operators submit different sheets from version 1 at once')
def race(world: World) -> None:
    submitted: list[Reply] = []

    async def submit(entry: int, percent: int) -> Reply:
        caller = world.fleet.caller()
        reply = await caller.send(
            'POST',
            world.admin(entry),
            '/v1/plan?base_version=1',
            {'authorization': f'Bearer {world.fleet.token}'},
            _change(world, percent).encode(),
        )
        submitted.append(reply)
        await caller.close()
        return reply

    world.gather([lambda: submit(1, 70), lambda: submit(2, 80)])


@when('a faulty sheet is submitted')
def submit_faulty(world: World) -> None:
    sheet = f'{world.sheet}bad-1,steer,,,,,,,why\nbad-2,leave,,,,,,,why\n'
    world.notes['submitted'] = world.ctl('plan', 'submit', '-', stdin=sheet)


@then('all its faults are told with their rows')
def faults_told(world: World) -> None:
    submitted = world.notes['submitted']
    lines = len(world.sheet.splitlines())
    assert submitted.returncode == 5
    assert f'line {lines + 1}, column kind' in submitted.stderr
    assert f'line {lines + 2}, column target' in submitted.stderr


@then(
    parsers.re(
        r'all entry instances have version (?P<version>\d+) '
        r'within (?P<seconds>\d+) seconds?',
    ),
)
def have_version(world: World, version: str, seconds: str) -> None:
    running = [
        number
        for number in range(1, len(world.fleet.layout.entries) + 1)
        if world.fleet.is_running(world.name(number))
    ]

    def all_have() -> bool:
        found = {_version(world, number) for number in running}
        return found == {int(version)}

    assert world.wait_until(all_have, float(seconds)), [
        _version(world, number) for number in running
    ]


@then('the sheet was accepted or refused as the history says')
def as_history_says(world: World) -> None:
    submitted = world.notes['submitted']
    history = world.ctl('plan', 'history', '--json')
    accepted = history.stdout.count('"digest"') == 2
    assert accepted == (submitted.returncode == 0), submitted.stderr


@then('exactly one of them is accepted')
def one_accepted(world: World) -> None:
    assert sorted(reply.status for reply in world.replies) == [200, 409]


@then('the other is told of a conflict with the rows that differ')
def told_conflict(world: World) -> None:
    (refused,) = [r for r in world.replies if r.status == 409]
    assert 'status-lookup-Moravia' in refused.document()['rows']


@then(
    parsers.parse(
        'a request to entry instance {number:d} right after it goes on '
        'is served by version {version:d}',
    ),
)
def served_by(world: World, number: int, version: int) -> None:
    world.fleet.pause(world.name(number))
    submitted = world.ctl('plan', 'submit', '-', stdin=_change(world, 60))
    assert submitted.returncode == 0, submitted.stderr
    time.sleep(2.5)
    world.fleet.resume(world.name(number))
    reply = world.send(world.address(number), f'/v1/services/{LOOK_UP}/x')
    explained = world.ctl('explain', reply.request_id, entry=number)
    assert f'under plan version {version + 1}' in explained.stdout


def _change(world: World, percent: int) -> str:
    before = 'serve,status-lookup,Moravia,,,100,'
    assert before in world.sheet
    return world.sheet.replace(
        before,
        f'serve,status-lookup,Moravia,,,{percent},',
    )


def _version(world: World, number: int) -> int:
    async def ask() -> int:
        caller = world.fleet.caller()
        reply = await caller.send(
            'GET',
            world.admin(number),
            '/v1/plan',
            {'authorization': f'Bearer {world.fleet.token}'},
        )
        await caller.close()
        if reply.status != 200:
            return 0
        version: int = reply.document()['version']
        return version

    return world.call(ask)
