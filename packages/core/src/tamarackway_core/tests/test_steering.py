"""Tests of the routing of single requests."""

import dataclasses
import itertools

import pytest

from tamarackway_core.places import Address, Place
from tamarackway_core.steering import (
    Catalogue,
    ColdStartLimiter,
    Configuration,
    ConfigurationOrder,
    DemandTracker,
    EvacuationTracker,
    LeavingTarget,
    LoadReport,
    Route,
    RouteTable,
    RunTimeEstimator,
    ServicePolicy,
    ServiceShare,
    TargetQuery,
    TargetRecord,
    TargetSelector,
    TargetStats,
    TargetStatsRegistry,
    WindowedRetryBudget,
    pick_service,
    split_demand,
)

POLICY = ServicePolicy('s', cold_per_s=10)
REGIONS = ('east', 'west')


def make_target(
    name: str,
    *,
    region: str = 'east',
    incarnation: int = 1,
    sequence: int = 1,
    leaving: bool = False,
    cold_left_s: float = 0,
) -> TargetRecord:
    return TargetRecord(
        name=name,
        incarnation=incarnation,
        service='s',
        place=Place(region, f'{region}-a'),
        address=Address('127.0.0.1', 80),
        slots=3,
        leaving=leaving,
        cold_left_s=cold_left_s,
        sequence=sequence,
    )


def make_selector(*targets: TargetRecord) -> tuple[TargetSelector, Catalogue]:
    catalogue = Catalogue()
    for target in targets:
        catalogue.put(target, 0)
    selector = TargetSelector(
        'east',
        catalogue,
        TargetStatsRegistry(),
        RunTimeEstimator(),
        DemandTracker('east'),
    )
    return selector, catalogue


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('h.example', '/a/x', 'short'),
        ('H.example:80', '/a/b/x', 'long'),
        ('h.example', '/a', None),
        ('other.example', '/a/x', None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(
    host: str,
    path: str,
    name: str | None,
) -> None:
    table = RouteTable([
        Route('short', 'h.example', '/a/', (), idempotent=True),
        Route('long', 'h.example', '/a/b/', (), idempotent=True),
    ])
    found = table.find(host, path)
    assert (found.name if found else None) == name


# Guards against a request that must not run twice and is sent twice, since an
# encoded slash made it look like one of another route.
@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/orders/status/17', 'safe'),
        ('/orders/status%2F17', 'unsafe'),
        ('/orders/status%2f17', 'unsafe'),
        ('/orders%2Fstatus/17', None),
        ('/%6frders/%73tatus/17', 'safe'),
        ('/orders/sta%74us%2F/17', 'unsafe'),
        ('/relat%C3%B3rio/1', 'report'),
        ('/relat%c3%b3rio/1', 'report'),
        ('/relat\udcc3\udcb3rio/1', 'report'),
        ('/relat\u00f3rio/1', 'report'),
        ('/relat%F3rio/1', None),
        ('/n\u00e3o/1', 'raw'),
        ('/n%C3%A3o/1', 'raw'),
        ('/a%20b/1', 'space'),
        ('/orders/%', 'unsafe'),
        ('/orders/%zz', 'unsafe'),
    ],
)
def test_encoded_paths_belong_to_the_route_of_their_segments(
    path: str, name: str | None
) -> None:
    prefixes = {
        'unsafe': '/orders/',
        'safe': '/orders/status/',
        'report': '/relat%C3%B3rio/',
        'raw': '/n\u00e3o/',
        'space': '/a b/',
    }
    table = RouteTable(
        Route(name, 'h', prefix, (), idempotent=name == 'safe')
        for name, prefix in prefixes.items()
    )
    found = table.find('h', path)
    assert (found.name if found else None) == name


def test_services_are_picked_by_weight() -> None:
    shares = (ServiceShare('a', 9), ServiceShare('b', 1))
    draws = [pick_service(shares, index / 1000) for index in range(1000)]
    assert draws.count('b') == 100


@pytest.mark.parametrize(
    ('slots', 'demand', 'local'),
    [
        ({'east': 15, 'west': 15}, {}, 1.0),
        ({'east': 5, 'west': 15}, {}, 0.575),
        ({'east': 15, 'west': 15}, {'east': 4, 'west': 36}, 1.0),
        ({'east': 15, 'west': 15}, {'east': 36, 'west': 4}, 0.639),
        ({'east': 15, 'west': 15}, {'east': 0.1, 'west': 0.1}, 1.0),
        ({'west': 15}, {'east': 4, 'west': 4}, 0),
    ],
)
def test_a_region_sends_its_excess_demand_to_other_regions(
    slots: dict[str, float],
    demand: dict[str, float],
    local: float,
) -> None:
    shares = split_demand('east', slots, demand)
    assert sum(shares.values()) == pytest.approx(1)
    assert shares.get('east', 0) == pytest.approx(local, abs=0.01)


def test_a_key_stays_at_its_target_under_moderate_load() -> None:
    selector, _ = make_selector(*(make_target(f't{n}') for n in range(8)))
    initial = selector.select(TargetQuery('s', 'k'), POLICY, (), 0)
    assert initial is not None
    initial.stats.in_flight = 3
    next_choice = selector.select(TargetQuery('s', 'k'), POLICY, (), 0)
    assert next_choice is not None
    assert next_choice.record == initial.record


def test_a_key_leaves_its_target_once_queueing_exceeds_an_uncached_run() -> (
    None
):
    selector, _ = make_selector(*(make_target(f't{n}') for n in range(8)))
    initial = selector.select(TargetQuery('s', 'k'), POLICY, (), 0)
    assert initial is not None
    initial.stats.in_flight = 30
    next_choice = selector.select(TargetQuery('s', 'k'), POLICY, (), 0)
    assert next_choice is not None
    assert next_choice.record != initial.record


def test_keys_use_few_targets_under_overload() -> None:
    """150 keys are requested at twice the capacity of the targets."""
    targets = [make_target(f't{n}') for n in range(20)]
    selector, _ = make_selector(*targets)
    seen: dict[str, set[str]] = {}
    for step in range(3000):
        key = f'k{step % 150}'
        chosen = selector.select(TargetQuery('s', key), POLICY, (), step / 500)
        assert chosen is not None
        selector.record_send(chosen, key, step / 500)
        chosen.stats.in_flight += 1
        seen.setdefault(key, set()).add(chosen.record.name)
    assert max(len(names) for names in seen.values()) <= 3


def test_requests_without_a_key_use_all_regions() -> None:
    selector, _ = make_selector(
        make_target('near'),
        *(make_target(f'far{n}', region='west') for n in range(9)),
    )
    names = set()
    for number in range(60):
        query = TargetQuery('s', spread_key=f'request{number}')
        chosen = selector.select(query, POLICY, (), 0)
        assert chosen is not None
        names.add(chosen.record.place.region)
    assert names == {'east', 'west'}


def test_a_run_with_an_uncached_key_does_not_raise_the_slowdown() -> None:
    run_times = RunTimeEstimator()
    stats = TargetStats(1, 0)
    for _ in range(50):
        for run_s in (0.1, 0.3):
            ratio = run_s / run_times.nearest_average_s('s', run_s)
            stats.record_success(ratio, 0)
            run_times.observe('s', run_s)
    assert stats.slowdown(0) == pytest.approx(1, abs=0.05)
    assert run_times.cached_s('s') == pytest.approx(0.1, rel=0.1)
    assert run_times.uncached_s('s') == pytest.approx(0.3, rel=0.1)


def test_a_slow_target_is_avoided_and_later_used_again() -> None:
    selector, _ = make_selector(*(make_target(f't{n}') for n in range(8)))
    initial = selector.select(TargetQuery('s', 'k'), POLICY, (), 0)
    assert initial is not None
    for _ in range(10):
        initial.stats.record_success(8, 0)
    later = {
        now_s: selector.select(TargetQuery('s', 'k'), POLICY, (), now_s)
        for now_s in (0, 20)
    }
    assert later[0] is not None
    assert later[20] is not None
    assert later[0].record != initial.record
    assert later[20].record == initial.record


@pytest.mark.parametrize('home_regions', [('west',), ('east',)])
def test_home_regions_are_enforced(home_regions: tuple[str, ...]) -> None:
    selector, _ = make_selector(
        *(make_target(f't{n}', region=REGIONS[n % 2]) for n in range(8)),
    )
    for number in range(50):
        query = TargetQuery('s', f'k{number}', home_regions)
        chosen = selector.select(query, POLICY, (), 0)
        assert chosen is not None
        assert chosen.record.place.region == home_regions[0]


def test_leaving_and_evacuated_targets_are_not_selected() -> None:
    selector, catalogue = make_selector(
        make_target('leaving', leaving=True),
        make_target('evacuated', region='west'),
    )
    catalogue.evacuate(['west-a'], 0, 3)
    assert selector.select(TargetQuery('s'), POLICY, (), 0) is None


def test_targets_of_a_restored_domain_are_cold() -> None:
    catalogue = Catalogue()
    catalogue.put(make_target('t'), 0)
    catalogue.evacuate(['east-a'], 1, 3)
    catalogue.evacuate([], 5, 3)
    assert catalogue.is_cold('t', 7.9)
    assert not catalogue.is_cold('t', 8.1)


@pytest.mark.parametrize(
    ('incarnation', 'sequence', 'accepted'),
    [(1, 6, True), (1, 4, False), (2, 1, True), (0, 9, False)],
)
def test_older_records_are_ignored(
    incarnation: int,
    sequence: int,
    *,
    accepted: bool,
) -> None:
    catalogue = Catalogue()
    catalogue.put(make_target('t', sequence=5), 0)
    changed = make_target(
        't',
        incarnation=incarnation,
        sequence=sequence,
        leaving=True,
    )
    catalogue.put(changed, 1)
    assert (catalogue.find('t') == changed) is accepted


def test_expired_targets_stay_for_the_grace_period() -> None:
    catalogue = Catalogue()
    for name in ('back', 'gone'):
        catalogue.put(make_target(name), 0)
        catalogue.mark_expired(name, 10)
    catalogue.put(make_target('back', sequence=2), 11)
    assert catalogue.remove_expired(12) == []
    assert catalogue.remove_expired(12.6) == ['gone']
    assert catalogue.names == {'back'}


@pytest.mark.parametrize('instances', [1, 4, 11, 40])
def test_the_cold_start_limit_holds_over_all_instances(
    instances: int,
) -> None:
    sent = 0
    for position in range(instances):
        limiter = ColdStartLimiter()
        for step in range(100):
            now_s = step / 100
            if limiter.allows('t', 14.9, instances, position, now_s):
                limiter.record('t', now_s)
                sent += 1
    assert 0 < sent <= 14.9


def test_the_retry_budget_holds_over_all_instances() -> None:
    instances = 11
    retries = 0
    for _ in range(instances):
        budget = WindowedRetryBudget(10, 0.2, 62)
        for step in range(100):
            budget.count_request(step / 10)
            retries += budget.take(instances, step / 10)
    assert 0 < retries <= 0.2 * 100 * instances + 62


@pytest.mark.parametrize('killed_at_s', [10, 12, 15, 19])
def test_the_retry_budget_holds_when_all_instances_restart(
    killed_at_s: int,
) -> None:
    """All processes restart while targets shed load, which continues."""
    instances = 11
    retries_s: list[float] = []
    for _ in range(instances):
        budget = WindowedRetryBudget(10, 0.2, 62)
        for step in range(300):
            now_s = step / 10
            if now_s == killed_at_s:
                budget = WindowedRetryBudget(10, 0.2, 62, started_s=now_s)
            budget.count_request(now_s)
            while now_s > 9 and budget.take(instances, now_s):
                retries_s.append(now_s)
    most = max(
        sum(start <= at_s < start + 10 for at_s in retries_s)
        for start in range(25)
    )
    assert 0 < most <= 0.2 * 100 * instances + 62


def test_shared_limits_are_unused_while_the_instance_count_is_unknown() -> None:
    budget = WindowedRetryBudget(10, 0.2, 62)
    assert not budget.take(0, 20)
    assert budget.take(1, 20)
    assert not ColdStartLimiter().allows('t', 14.9, 0, 0, 20)


def test_load_reports_decay_to_the_average() -> None:
    stats = TargetStats(1, 0)
    stats.record_load(LoadReport(3, 6, 3), 0)
    assert stats.load(0) == pytest.approx(9)
    assert stats.load(5) < 2


def test_an_ejected_target_is_probed_by_one_request() -> None:
    stats = TargetStats(1, 0)
    ejection_s = stats.record_failure(0)
    assert stats.is_ejected(ejection_s / 2)
    assert not stats.is_ejected(ejection_s)
    stats.in_flight = 1
    assert stats.is_ejected(ejection_s)
    stats.record_success(1, ejection_s)
    assert not stats.is_ejected(ejection_s)


# Guards against targets that keep their share of the requests although most of
# their responses are no responses.
@pytest.mark.parametrize(
    ('responses', 'ejected'),
    [
        ('i', False),
        ('ii', True),
        ('isi', False),
        ('iisi', True),
        ('isssisssisss', False),
        ('iis', False),
    ],
)
def test_target_with_mostly_invalid_responses_is_ejected(
    responses: str, *, ejected: bool
) -> None:
    stats = TargetStats(1, 0)
    for response in responses:
        if response == 'i':
            stats.record_invalid_response(0)
        else:
            stats.record_success(1, 0)
            stats.ejected_until_s = 0
    assert stats.is_ejected(0.1) is ejected


def limit_target(selector: TargetSelector, name: str, per_s: float) -> None:
    selector.rate_limiter.divide_among('i1', ['i1'])
    selector.rate_limiter.observe(name, 1, per_s, 100)


# Guards against targets that get more requests than the rate limit they set,
# although other targets could take them.
@pytest.mark.parametrize('affinity_key', ['', 'k'])
def test_requests_beyond_a_rate_limit_go_to_other_targets(
    affinity_key: str,
) -> None:
    selector, _ = make_selector(*(make_target(name) for name in 'abcd'))
    for name in 'abc':
        limit_target(selector, name, 1.0)
    query = TargetQuery('s', affinity_key)
    sent = dict.fromkeys('abcd', 0)
    for step in range(600):
        now_s = 100 + step / 30
        chosen = selector.select(query, POLICY, (), now_s)
        assert chosen is not None
        selector.record_send(chosen, affinity_key, now_s)
        sent[chosen.record.name] += 1
    assert all(sent[name] <= 21 for name in 'abc')
    assert sent['d'] >= 540


@pytest.mark.parametrize('limited', ['', 'abc', 'abcd'])
def test_return_of_refused_callers_follows_rate_limits(limited: str) -> None:
    selector, _ = make_selector(*(make_target(name) for name in 'abcd'))
    for name in limited:
        limit_target(selector, name, 2.0)
    chosen = selector.select(TargetQuery('s', 'k'), POLICY, (), 100)
    assert (chosen is None) is (len(limited) == 4)
    delays_s = [
        selector.return_delay_s(TargetQuery('s', 'k'), 100) for _ in range(3)
    ]
    # Three or four targets take two requests per second each.
    step_s = 1 / (2 * len(limited)) if limited else 0
    for first, second in itertools.pairwise(delays_s):
        if first is None or second is None:
            assert not limited
        else:
            assert second - first == pytest.approx(step_s)


# Guards against requests to a leaving target through the list of the service
# that it ran before.
@pytest.mark.parametrize('leaving', [False, True])
def test_target_that_changes_its_service_leaves_the_old_one(
    *, leaving: bool
) -> None:
    catalogue = Catalogue()
    catalogue.put(make_target('t'), 0)
    assert catalogue.list_usable('s').targets
    moved = dataclasses.replace(make_target('t', sequence=2), service='other')
    catalogue.put(moved, 1)
    if leaving:
        left = dataclasses.replace(moved, sequence=3, leaving=True)
        catalogue.put(left, 2)
    assert not catalogue.list_usable('s').targets
    assert len(catalogue.list_usable('other').targets) == (not leaving)


# Guards against requests to a leaving target whose clock was set back before
# it started again under its name.
@pytest.mark.parametrize('registered_s', [0, 1.0, 1.9])
def test_target_with_an_older_incarnation_is_known_before_it_may_leave(
    registered_s: float,
) -> None:
    catalogue = Catalogue()
    catalogue.put(make_target('t', incarnation=5, sequence=70), 0)
    again = make_target('t', incarnation=4)
    catalogue.put(again, 10)
    leaving = dataclasses.replace(again, sequence=2, leaving=True)
    catalogue.put(leaving, 10 + registered_s)
    catalogue.adopt_older(12)
    assert catalogue.find('t') == leaving
    assert not catalogue.is_usable('t')
    assert not catalogue.list_usable('s').targets


# A late write of an earlier incarnation does not replace a running one.
def test_late_record_of_an_earlier_incarnation_is_ignored() -> None:
    catalogue = Catalogue()
    running = make_target('t', incarnation=5)
    catalogue.put(running, 0)
    catalogue.put(make_target('t', incarnation=4, leaving=True), 10)
    again = dataclasses.replace(running, sequence=2)
    catalogue.put(again, 11.5)
    catalogue.adopt_older(13)
    assert catalogue.find('t') == again
    catalogue.put(make_target('t', incarnation=4, leaving=True), 20)
    catalogue.remove('t')
    catalogue.adopt_older(30)
    assert catalogue.find('t') is None


# Guards against requests to a target that says in its responses that it is
# leaving, while its row still says that it is ready.
@pytest.mark.parametrize(
    ('incarnation', 'sequence', 'removed', 'usable'),
    [
        (1, 1, False, False),
        (1, 2, False, False),
        (1, 2, True, False),
        (2, 1, False, True),
        (2, 1, True, True),
    ],
)
@pytest.mark.parametrize('from_peer', [False, True])
def test_target_that_said_it_is_leaving_stays_unused(
    incarnation: int,
    sequence: int,
    *,
    removed: bool,
    from_peer: bool,
    usable: bool,
) -> None:
    catalogue = Catalogue()
    catalogue.put(make_target('t'), 0)
    assert catalogue.list_usable('s').targets
    assert catalogue.mark_leaving('t', 1, 1, from_peer=from_peer)
    assert not catalogue.mark_leaving('t', 1, 2, from_peer=from_peer)
    assert not catalogue.is_usable('t')
    assert not catalogue.list_usable('s').targets
    if removed:
        catalogue.remove('t')
    again = make_target('t', incarnation=incarnation, sequence=sequence)
    catalogue.put(again, 3)
    assert catalogue.is_usable('t') is usable
    assert bool(catalogue.list_usable('s').targets) is usable


def test_late_word_of_an_earlier_incarnation_does_not_stop_its_successor() -> (
    None
):
    catalogue = Catalogue()
    catalogue.put(make_target('t', incarnation=2), 0)
    assert not catalogue.mark_leaving('t', 1, 1, from_peer=True)
    assert catalogue.is_usable('t')
    assert catalogue.mark_leaving('t', 2, 2, from_peer=False)
    catalogue.mark_leaving('t', 0, 3, from_peer=True)
    assert not catalogue.is_usable('t')


def test_only_own_and_recent_departures_are_reported_to_peers() -> None:
    catalogue = Catalogue()
    for number in range(200):
        catalogue.mark_leaving(f'own{number}', 1, 1, from_peer=False)
    catalogue.mark_leaving('last', 7, 1, from_peer=False)
    catalogue.mark_leaving('of a peer', 1, 1, from_peer=True)
    reported = catalogue.departures.list_recent(2)
    assert LeavingTarget('last', 7) in reported
    assert all(target.name != 'of a peer' for target in reported)
    assert len(reported) <= 64
    assert not catalogue.departures.list_recent(7)


def test_number_of_remembered_departures_is_bounded() -> None:
    catalogue = Catalogue()
    for number in range(5000):
        catalogue.mark_leaving(f't{number}', 1, 1, from_peer=False)
    for number in (0, 4999):
        catalogue.put(make_target(f't{number}'), 2)
    assert catalogue.is_usable('t0')
    assert not catalogue.is_usable('t4999')


@pytest.mark.parametrize('affinity_key', ['', 'k'])
@pytest.mark.parametrize('paused', ['', 'a', 'abc', 'abcd'])
def test_paused_targets_are_not_selected(
    paused: str, affinity_key: str
) -> None:
    selector, _ = make_selector(*(make_target(name) for name in 'abcd'))
    for name in paused:
        selector.pauses.observe(name, 1, 3, 100)
    query = TargetQuery('s', affinity_key)
    for step in range(29):
        chosen = selector.select(query, POLICY, (), 100 + step / 10)
        assert (chosen is None) is (len(paused) == 4)
        if chosen is not None:
            assert chosen.record.name not in paused
    assert selector.select(query, POLICY, (), 103) is not None


# Callers that are refused by paused targets return after the earliest end, and
# not all at once.
@pytest.mark.parametrize(
    ('paused', 'limited', 'first_s'),
    [('abc', '', None), ('abcd', '', 3), ('abcd', 'ab', 3), ('abc', 'd', 0)],
)
def test_refused_callers_return_after_the_earliest_pause(
    paused: str, limited: str, first_s: float | None
) -> None:
    selector, _ = make_selector(*(make_target(name) for name in 'abcd'))
    for name in limited:
        limit_target(selector, name, 2.0)
    for duration_s, name in enumerate(paused, 3):
        selector.pauses.observe(name, 1, duration_s, 100)
    query = TargetQuery('s')
    delays_s = [selector.return_delay_s(query, 100) for _ in range(20)]
    if first_s is None:
        assert delays_s == [None] * 20
        return
    known_s = [delay_s for delay_s in delays_s if delay_s is not None]
    assert len(known_s) == 20
    assert all(first_s <= delay_s <= first_s + 2 for delay_s in known_s)
    assert known_s == sorted(known_s)
    assert known_s[-1] > known_s[0]


def configuration(version: int, digest: str = 'a') -> Configuration:
    return Configuration(version, digest=digest)


# Guards against a configuration that a restored store brings back, and against
# one that is ignored since its number was given out before. Steps are number,
# digest, history in which it was certainly written, and history of the read.
@pytest.mark.parametrize(
    ('steps', 'in_force'),
    [
        ([(3, 'a', 1, 1), (2, 'a', 1, 1)], (3, 'a')),
        ([(3, 'a', 1, 1), (3, 'b', 1, 1)], (3, 'a')),
        ([(3, 'a', 1, 1), (2, 'a', 0, 2)], (3, 'a')),
        ([(3, 'a', 1, 1), (3, 'b', 0, 2)], (3, 'b')),
        ([(3, 'a', 1, 1), (3, 'b', 2, 2)], (3, 'b')),
        ([(3, 'a', 1, 1), (2, 'b', 2, 2)], (2, 'b')),
        ([(2, 'a', 1, 1), (3, 'a', 1, 1), (2, 'a', 2, 2)], (3, 'a')),
        ([(3, 'a', 1, 1), (3, 'a', 2, 2), (2, 'b', 2, 2)], (3, 'a')),
        ([(3, 'a', 1, 1), (3, 'b', 2, 2), (3, 'a', 0, 3)], (3, 'b')),
        ([(3, 'a', 1, 1), (3, 'b', 2, 2), (4, 'a', 2, 2)], (4, 'a')),
        ([(2, 'a', 0, 2), (4, 'a', 1, 0)], (4, 'a')),
        ([(2, 'a', 0, 2), (4, 'a', 1, 0), (3, 'b', 2, 2)], (3, 'b')),
        ([(3, 'a', 0, 0), (3, 'b', 0, 0), (2, 'a', 0, 0)], (3, 'a')),
    ],
)
def test_last_confirmed_configuration_is_in_force(
    steps: list[tuple[int, str, int, int]], in_force: tuple[int, str]
) -> None:
    order = ConfigurationOrder()
    for version, digest, written_in, read_in in steps:
        order.apply(
            configuration(version, digest),
            written_in=written_in,
            read_in=read_in,
        )
    assert order.current is not None
    assert (order.current.version, order.current.digest) == in_force


# Guards against a new instance that keeps the older configuration of the copy,
# and against one that asks a peer which missed the newest one.
@pytest.mark.parametrize(
    ('own', 'peer', 'is_behind'),
    [
        (None, (0, 0), False),
        (None, (1, 0), True),
        ((2, 0), (3, 0), True),
        ((2, 0), (3, 1), True),
        ((3, 0), (3, 1), False),
        ((3, 1), (2, 1), False),
        ((2, 2), (3, 1), False),
        ((2, 2), (3, 2), True),
    ],
)
def test_newer_configuration_of_a_peer_is_recognized(
    own: tuple[int, int] | None, peer: tuple[int, int], *, is_behind: bool
) -> None:
    order = ConfigurationOrder()
    if own is not None:
        order.apply(configuration(own[0]), written_in=own[1])
    assert order.is_behind(*peer) is is_behind


def target_record(
    incarnation: int, sequence: int, *, leaving: bool = False
) -> TargetRecord:
    return TargetRecord(
        name='t',
        incarnation=incarnation,
        service='s',
        place=Place('east', 'east-a'),
        address=Address('127.0.0.1', 80),
        slots=3,
        leaving=leaving,
        sequence=sequence,
    )


# Guards against requests to a target that a restored store lists with a record
# from before it left. Records are incarnation and sequence.
@pytest.mark.parametrize(
    ('last', 'ended', 'copied', 'usable', 'usable_later'),
    [
        ((1, 7), 'removed', (1, 5), False, True),
        ((1, 7), 'removed', (1, 7), False, True),
        ((2, 7), 'removed', (1, 9), False, True),
        ((1, 7), 'removed', (1, 8), True, True),
        ((1, 7), 'removed', (2, 1), True, True),
        ((1, 7), 'leaving', (1, 5), False, False),
        ((2, 7), 'leaving', (1, 9), False, False),
        ((1, 7), 'leaving', (2, 1), True, True),
        ((1, 7), '', (1, 5), True, True),
        ((2, 1), '', (1, 9), True, True),
    ],
)
def test_outdated_record_of_a_copy_is_not_used(
    last: tuple[int, int],
    ended: str,
    copied: tuple[int, int],
    *,
    usable: bool,
    usable_later: bool,
) -> None:
    catalogue = Catalogue()
    catalogue.put(target_record(*last, leaving=ended == 'leaving'), 10)
    if ended == 'removed':
        catalogue.remove('t')
    catalogue.put(target_record(*copied), 20, is_copy=True)
    catalogue.adopt_older(25)
    assert catalogue.is_usable('t') is usable
    assert bool(catalogue.outdated.list_recent(25)) is not usable
    catalogue.adopt_older(31)
    assert catalogue.is_usable('t') is usable_later
    assert not catalogue.outdated.list_recent(31)


# Guards against a live target that is never used again, since a copy listed it
# after it had been removed for a moment.
def test_target_that_registers_again_after_a_restore_is_used() -> None:
    catalogue = Catalogue()
    catalogue.put(target_record(1, 7), 10)
    catalogue.remove('t')
    catalogue.put(target_record(1, 5), 20, is_copy=True)
    catalogue.put(target_record(1, 8), 21)
    assert catalogue.is_usable('t')
    catalogue.remove('t')
    catalogue.adopt_older(60)
    assert not catalogue.is_usable('t')


# Guards against evacuations that a restored store undoes or brings back. Steps
# are the time and what is listed, certainly added or removed, or held by peers.
@pytest.mark.parametrize(
    ('steps', 'in_force'),
    [
        ([(0, 'list', 'a'), (10, 'restore', '')], {19: 'a', 21: ''}),
        (
            [(0, 'list', 'a'), (10, 'restore', ''), (14, 'add', 'a')],
            {19: 'a', 60: 'a'},
        ),
        (
            [(0, 'list', 'a'), (10, 'restore', ''), (12, 'remove', 'a')],
            {13: ''},
        ),
        ([(0, 'list', ''), (10, 'restore', 'a')], {12: '', 13: 'a'}),
        (
            [(0, 'list', ''), (10, 'restore', 'a'), (11, 'add', 'a')],
            {12: 'a'},
        ),
        ([(0, 'list', 'a'), (10, 'restore', 'a')], {11: 'a', 60: 'a'}),
        ([(0, 'list', ''), (10, 'peer', 'a')], {15: 'a', 21: ''}),
        (
            [(0, 'list', ''), (10, 'remove', 'a'), (11, 'peer', 'a')],
            {12: ''},
        ),
        ([(0, 'list', 'a'), (10, 'list', '')], {11: ''}),
    ],
)
def test_evacuations_outlast_a_restore(
    steps: list[tuple[float, str, str]], in_force: dict[float, str]
) -> None:
    tracker = EvacuationTracker()
    for at_s, change, domains in steps:
        names = frozenset(domains)
        if change == 'peer':
            tracker.hold_for_peer(dict.fromkeys(names, 9.5), at_s)
        elif change == 'add':
            tracker.change(names, frozenset(), at_s)
        elif change == 'remove':
            tracker.change(frozenset(), names, at_s)
        else:
            tracker.replace(names, at_s, is_restored=change == 'restore')
    for at_s, domains in in_force.items():
        assert tracker.in_force(at_s) == frozenset(domains)
