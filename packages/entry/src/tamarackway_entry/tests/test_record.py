"""How ended requests are counted."""

import anyio
import pytest
from tamarackway_core.steering import Route, ServiceShare, TargetQuery

from tamarackway_entry.forwarding import (
    ForwardResponse,
    Origin,
    RequestContext,
    RequestRecorder,
)
from tamarackway_entry.telemetry import Metrics
from tamarackway_entry.tests.test_following import ManualClock
from tamarackway_entry.tests.test_forwarder import make_request, make_state

LIMIT = 64


def make_passage(route: str) -> RequestContext:
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
        ends_s=101,
        gone=anyio.Event(),
    )


def count_by_route(routes: list[str]) -> dict[str, float]:
    metrics = Metrics()
    recorder = RequestRecorder(make_state(), metrics, ManualClock())
    answer = ForwardResponse(200, Origin.TARGET)
    for route in routes:
        context = make_passage(route) if route else None
        recorder.record(make_request(), answer, context)
    return {
        sample.labels['route']: sample.value
        for family in metrics.registry.collect()
        for sample in family.samples
        if sample.name == 'tamarackway_request_seconds_count'
    }


@pytest.mark.parametrize(
    ('routes', 'counted'),
    [
        (['a', 'b', 'a'], {'a': 2, 'b': 1}),
        (['', 'a'], {'-': 1, 'a': 1}),
    ],
)
def test_latency_is_counted_by_route(
    routes: list[str],
    counted: dict[str, float],
) -> None:
    assert count_by_route(routes) == counted


def test_routes_beyond_the_limit_share_one_label() -> None:
    names = [f'r{number}' for number in range(LIMIT + 6)]
    counted = count_by_route([*names, *names])
    assert len(counted) == LIMIT + 1
    assert counted['other'] == 12
