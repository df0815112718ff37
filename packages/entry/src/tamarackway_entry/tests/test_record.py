"""Tests of the metrics of ended requests."""

import pytest
from tamarackway_core.steering import Route, ServiceShare, TargetQuery

from tamarackway_entry.forwarding import (
    ForwardResponse,
    Origin,
    RequestContext,
    RequestRecorder,
)
from tamarackway_entry.serving import Caller
from tamarackway_entry.telemetry import Metrics
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.tests.test_forwarder import make_request, make_state

MAX_ROUTES = 64


def make_context(route: str) -> RequestContext:
    return RequestContext(
        make_request(),
        Route(
            route,
            'h.example',
            '/a/',
            (ServiceShare('s', 1),),
            idempotent=True,
        ),
        TargetQuery('s'),
        deadline_s=101,
        caller=Caller(),
    )


def count_by_route(routes: list[str]) -> dict[str, float]:
    metrics = Metrics()
    recorder = RequestRecorder(make_state(), metrics, ManualClock())
    response = ForwardResponse(200, Origin.TARGET)
    for route in routes:
        context = make_context(route) if route else None
        recorder.record(make_request(), response, context)
    return {
        sample.labels['route']: sample.value
        for family in metrics.registry.collect()
        for sample in family.samples
        if sample.name == 'tamarackway_request_seconds_count'
    }


@pytest.mark.parametrize(
    ('routes', 'expected'),
    [
        (['a', 'b', 'a'], {'a': 2, 'b': 1}),
        (['', 'a'], {'-': 1, 'a': 1}),
    ],
)
def test_requests_are_counted_by_route(
    routes: list[str],
    expected: dict[str, float],
) -> None:
    assert count_by_route(routes) == expected


def test_routes_beyond_the_limit_share_one_label() -> None:
    names = [f'r{number}' for number in range(MAX_ROUTES + 6)]
    counts = count_by_route([*names, *names])
    assert len(counts) == MAX_ROUTES + 1
    assert counts['other'] == 12
