"""Steps for reports, which run at most once."""

import functools
import re

import uuid6
from pytest_bdd import given, parsers, then, when

from tamarackway_bench.tests.loads import Submission
from tamarackway_bench.tests.world import REPORT, World

BODY = b'net 17 is torn'


@given(
    parsers.parse('the targets of defect-report are {factor:d} times slower')
)
def slow_report_targets(world: World, factor: int) -> None:
    for target in world.fleet.targets(REPORT):
        world.set_faults(target.name, slow_factor=factor)


@when(parsers.parse('a report is sent to entry instance {number:d}'))
def send_report(world: World, number: int) -> None:
    world.context['key'] = str(uuid6.uuid7())
    _send(world, number, BODY)


@when(
    parsers.parse(
        'another body is sent with the same key to entry instance {number:d}',
    ),
)
def send_other_body(world: World, number: int) -> None:
    _send(world, number, b'net 18 is torn')


@when('a report is sent to entry instances 1, 2 and 3 at once')
def send_to_three_instances(world: World) -> None:
    key = str(uuid6.uuid7())
    caller = world.fleet.caller()
    world.send_concurrently([
        functools.partial(
            caller.send_at_most_once,
            REPORT,
            BODY,
            key,
            world.entry_address(number),
            number,
        )
        for number in (1, 2, 3)
    ])
    world.call(caller.close)


@then(parsers.parse('the last reply came within {seconds:f} seconds'))
def check_response_time(world: World, seconds: float) -> None:
    explanation = world.run_ctl(
        'explain', world.last_response.request_id
    ).stdout
    decided_ms = re.search(
        r'after ([\d.]+) ms: the caller was told', explanation
    )
    assert decided_ms, explanation
    assert float(decided_ms[1]) <= seconds * 1000
    assert world.elapsed_s - world.context['reference_s'] <= seconds


@then(parsers.parse('the last reply says {outcome}'))
def check_outcome(world: World, outcome: str) -> None:
    assert world.last_response.outcome == outcome, world.last_response


@then(parsers.parse('the last reply is refused as {error}'))
def check_refusal(world: World, error: str) -> None:
    assert world.last_response.json()['error'] == error


@then('all replies are the same')
def check_same_responses(world: World) -> None:
    distinct = {
        (response.outcome, response.body) for response in world.responses
    }
    assert len(distinct) == 1, distinct
    assert world.responses[0].outcome == 'ran'


@then('every report ran at most once')
def check_at_most_once(world: World) -> None:
    world.stop_loads()
    repeated = {
        key: count
        for key, count in world.count_runs().items()
        if key != '-' and count > 1
    }
    assert not repeated


@then('no caller was told a lie')
def check_outcomes_against_runs(world: World) -> None:
    world.stop_loads()
    runs = world.count_runs()
    for key, submissions in _submissions_by_key(world).items():
        last = max(submissions, key=lambda submission: submission.attempt)
        ran = [
            submission
            for submission in submissions
            if submission.response.outcome == 'ran'
        ]
        if ran:
            assert runs[key] == 1, (key, submissions)
        if last.response.outcome == 'not-run':
            assert runs[key] == 0, (key, submissions)
        bodies = {submission.response.body for submission in ran}
        assert len(bodies) <= 1, bodies
        assert all(key.encode() in body for body in bodies)


@then(parsers.parse('at least {count:d} reports ran'))
def check_report_count(world: World, count: int) -> None:
    ran = {
        submission.key
        for submission in _submissions(world)
        if submission.response.outcome == 'ran'
    }
    assert len(ran) >= count


@then(parsers.parse('every report was answered within {seconds:d} seconds'))
def check_slowest_response(world: World, seconds: int) -> None:
    slowest = max(submission.took_s for submission in _submissions(world))
    assert slowest <= seconds


@then('no request was cut off')
def check_no_lost_connection(world: World) -> None:
    unanswered = [
        submission
        for submission in _submissions(world)
        if submission.response.status == 0
    ]
    assert not unanswered, (len(unanswered), len(_submissions(world)))
    assert world.look_ups is not None
    assert world.look_ups.failed_sends == 0


def _send(world: World, number: int, body: bytes) -> None:
    headers = {
        'idempotency-key': world.context['key'],
        'x-request-attempt': '1',
    }
    path = f'/v1/services/{REPORT}/'
    reference = world.start_reference_request(world.entry_address(number))
    world.send(world.entry_address(number), path, 'POST', headers, body)
    world.context['reference_s'] = reference.result(timeout=60)


def _submissions(world: World) -> list[Submission]:
    world.stop_loads()
    return list(world.reports.submissions) if world.reports else []


def _submissions_by_key(world: World) -> dict[str, list[Submission]]:
    grouped: dict[str, list[Submission]] = {}
    for submission in _submissions(world):
        grouped.setdefault(submission.key, []).append(submission)
    return grouped
