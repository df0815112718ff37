"""Tests of telling a cut of the own path from targets that have failed."""

import pytest

from tamarackway_core.steering import ReachabilityMonitor

TARGETS = 4


# Guards against requests that go to targets without a path, and against detours
# around single targets that have failed, or around targets that are busy. Steps
# are the time, the service, and the target that failed or, for a response, the
# time at which the request had been sent.
@pytest.mark.parametrize(
    ('steps', 'cut_off', 'isolated'),
    [
        ([], (), False),
        ([(1, 'a', 't1')], (), False),
        ([(1, 'a', 't1'), (2, 'a', 't1')], (), False),
        ([(1, 'a', 't1'), (2, 'a', 't2')], ('a',), True),
        ([(1, 'a', 't1'), (2, 'a', 1.5), (3, 'a', 't2')], (), False),
        ([(1, 'a', 't1'), (2, 'a', 0.5), (3, 'a', 't2')], ('a',), True),
        ([(1, 'a', 't1'), (2, 'a', 't2'), (3, 'a', 0.9)], ('a',), True),
        ([(1, 'a', 't1'), (2, 'a', 't2'), (3, 'a', 2.5)], (), False),
        ([(1, 'a', 't1'), (2, 'a', 't2'), (3, 'b', 2.5)], ('a',), False),
        ([(1, 'a', 't1'), (2, 'b', 't2')], (), False),
        (
            [(1, 'a', 't1'), (2, 'a', 't2'), (3, 'b', 'u1'), (4, 'b', 'u2')],
            ('a', 'b'),
            True,
        ),
    ],
)
def test_cut_is_told_from_failures_of_targets(
    steps: list[tuple[float, str, str | float]],
    cut_off: tuple[str, ...],
    *,
    isolated: bool,
) -> None:
    monitor = ReachabilityMonitor()
    for at_s, service, what in steps:
        if isinstance(what, str):
            monitor.record_failure(service, what, TARGETS, at_s)
        else:
            monitor.record_response(service, what)
    assert monitor.list_suspected() == cut_off
    assert not monitor.list_cut_off()
    assert not monitor.is_isolated()
    for service in ('a', 'b'):
        assert monitor.confirm(service) is (service in cut_off)
    assert monitor.list_cut_off() == cut_off
    assert monitor.is_isolated() is isolated


def test_single_target_of_a_service_shows_a_cut() -> None:
    monitor = ReachabilityMonitor()
    assert monitor.record_failure('a', 't1', 1, 5)
    assert not monitor.record_failure('a', 't1', 1, 6)
    assert monitor.confirm('a')
    assert not monitor.confirm('a')
    assert monitor.record_response('a', 7)
    assert not monitor.record_response('a', 8)


def test_peer_reaches_what_it_does_not_report() -> None:
    monitor = ReachabilityMonitor()
    assert monitor.reaches('e1', 'a')
    monitor.update_peer('e1', frozenset(('a',)))
    assert not monitor.reaches('e1', 'a')
    assert monitor.reaches('e1', 'b')
    monitor.remove_peer('e1')
    assert monitor.reaches('e1', 'a')
