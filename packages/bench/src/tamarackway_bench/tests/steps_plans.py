"""Steps for sheets and the plan in force."""

import threading
import time

from pytest_bdd import parsers, then, when

from tamarackway_bench.fleet import Response
from tamarackway_bench.tests.world import LOOK_UP, World


@when('the sheet is submitted with 70 percent for Moravia')
def submit_changed(world: World) -> None:
    submitted = world.run_ctl(
        'plan', 'submit', '-', stdin=_set_moravia_share(world, 70)
    )
    assert submitted.returncode == 0, submitted.stderr


@when('the table loses its answers for 1 second while the sheet is submitted')
def submit_without_table_responses(world: World) -> None:
    world.set_faults('table', lose_answers=True)
    restore_table = threading.Timer(
        1,
        world.set_faults,
        ('table',),
        {'lose_answers': False},
    )
    restore_table.start()
    sheet = _set_moravia_share(world, 70)
    world.context['submitted'] = world.run_ctl(
        'plan', 'submit', '-', stdin=sheet
    )
    restore_table.join()


@when('two operators submit different sheets from version 1 at once')
def submit_concurrently(world: World) -> None:
    submitted: list[Response] = []

    async def submit(entry: int, percent: int) -> Response:
        caller = world.fleet.caller()
        response = await caller.send(
            'POST',
            world.admin_address(entry),
            '/v1/plan?base_version=1',
            {'authorization': f'Bearer {world.fleet.token}'},
            _set_moravia_share(world, percent).encode(),
        )
        submitted.append(response)
        await caller.close()
        return response

    world.send_concurrently([lambda: submit(1, 70), lambda: submit(2, 80)])


@when('a faulty sheet is submitted')
def submit_faulty(world: World) -> None:
    sheet = f'{world.sheet}bad-1,steer,,,,,,,why\nbad-2,leave,,,,,,,why\n'
    world.context['submitted'] = world.run_ctl(
        'plan', 'submit', '-', stdin=sheet
    )


@then('all its faults are told with their rows')
def check_reported_faults(world: World) -> None:
    submitted = world.context['submitted']
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
def check_version(world: World, version: str, seconds: str) -> None:
    running = [
        number
        for number in range(1, len(world.fleet.layout.entries) + 1)
        if world.fleet.is_running(world.entry_name(number))
    ]

    def all_have_version() -> bool:
        versions = {_read_plan_version(world, number) for number in running}
        return versions == {int(version)}

    assert world.wait_until(all_have_version, float(seconds)), [
        _read_plan_version(world, number) for number in running
    ]


@then('the sheet was accepted or refused as the history says')
def check_submission_against_history(world: World) -> None:
    submitted = world.context['submitted']
    history = world.run_ctl('plan', 'history', '--json')
    accepted = history.stdout.count('"digest"') == 2
    assert accepted == (submitted.returncode == 0), submitted.stderr


@then('exactly one of them is accepted')
def check_one_accepted(world: World) -> None:
    assert sorted(response.status for response in world.responses) == [200, 409]


@then('the other is told of a conflict with the rows that differ')
def check_conflict(world: World) -> None:
    (refused,) = [
        response for response in world.responses if response.status == 409
    ]
    assert 'status-lookup-Moravia' in refused.json()['rows']


@then(
    parsers.parse(
        'a request to entry instance {number:d} right after it goes on '
        'is served by version {version:d}',
    ),
)
def check_served_version(world: World, number: int, version: int) -> None:
    world.fleet.pause(world.entry_name(number))
    submitted = world.run_ctl(
        'plan', 'submit', '-', stdin=_set_moravia_share(world, 60)
    )
    assert submitted.returncode == 0, submitted.stderr
    time.sleep(2.5)
    world.fleet.resume(world.entry_name(number))
    response = world.send(
        world.entry_address(number), f'/v1/services/{LOOK_UP}/x'
    )
    explained = world.run_ctl('explain', response.request_id, entry=number)
    assert f'under plan version {version + 1}' in explained.stdout


def _set_moravia_share(world: World, percent: int) -> str:
    before = 'serve,status-lookup,Moravia,,,100,'
    assert before in world.sheet
    return world.sheet.replace(
        before,
        f'serve,status-lookup,Moravia,,,{percent},',
    )


def _read_plan_version(world: World, number: int) -> int:
    async def fetch_version() -> int:
        caller = world.fleet.caller()
        response = await caller.send(
            'GET',
            world.admin_address(number),
            '/v1/plan',
            {'authorization': f'Bearer {world.fleet.token}'},
        )
        await caller.close()
        if response.status != 200:
            return 0
        version: int = response.json()['version']
        return version

    return world.call(fetch_version)
