"""Steps that start load, inject faults and remove them."""

from pytest_bdd import given, parsers, when

from tamarackway_bench.tests.world import LOOK_UP, World


@given('a fleet with the sheet in force')
def start_fleet(world: World) -> None:
    world.start()


@given('callers keep sending look-ups')
def send_look_ups(world: World) -> None:
    world.start_look_ups()


@given('callers keep sending reports')
def send_reports(world: World) -> None:
    world.start_reports()


@when(parsers.re(r'(?P<seconds>\d+) seconds? pass(es)?'))
def pause(world: World, seconds: str) -> None:
    world.pause(float(seconds))


@when(parsers.parse('entry instance {number:d} is killed'))
def kill_entry(world: World, number: int) -> None:
    world.call(world.fleet.kill, world.entry_name(number))


@when(parsers.parse('entry instance {number:d} freezes'))
def pause_entry(world: World, number: int) -> None:
    world.fleet.pause(world.entry_name(number))


@when(parsers.parse('entry instance {number:d} goes on'))
def resume_entry(world: World, number: int) -> None:
    world.fleet.resume(world.entry_name(number))


@when(parsers.parse('entry instance {number:d} is started anew'))
def restart_entry(world: World, number: int) -> None:
    entry = world.fleet.layout.entries[number - 1]
    world.call(world.fleet.start_entry, entry)


@when(parsers.parse('entry instance {number:d} is stopped gracefully'))
def stop_entry(world: World, number: int) -> None:
    code = world.call(world.fleet.stop, world.entry_name(number))
    assert code == 0


@when('the table freezes')
def freeze_table(world: World) -> None:
    world.set_faults('table', frozen=True)


@when('the table goes down')
def take_table_down(world: World) -> None:
    world.set_faults('table', down=True)


@when('the table loses its answers')
def drop_table_responses(world: World) -> None:
    world.set_faults('table', lose_answers=True)


@when(parsers.parse('the table answers {delay_ms:d} ms late'))
def delay_table(world: World, delay_ms: int) -> None:
    world.set_faults('table', delay_s=delay_ms / 1000)


@when('the table works again')
def restore_table(world: World) -> None:
    world.set_faults(
        'table',
        down=False,
        frozen=False,
        lose_answers=False,
        delay_s=0,
    )


@when('the instance list goes down')
def take_instance_list_down(world: World) -> None:
    world.set_faults('instances', down=True)


@when(parsers.parse('region {region} is cut off'))
def partition_region(world: World, region: str) -> None:
    others = [
        other for other in world.fleet.layout.spec.regions if other != region
    ]
    pairs = [(region, other) for other in others]
    world.call(world.fleet.partition, pairs)


@when('all links work again')
def restore_links(world: World) -> None:
    world.call(world.fleet.partition, [])


@when('the open connections to all targets go silent')
def black_hole_target_connections(world: World) -> None:
    relays = [
        target.node.relay_address for target in world.fleet.layout.targets
    ]
    world.call(world.fleet.black_hole_connections, relays)


@when(parsers.parse('target {number:d} of status-lookup is killed'))
def kill_target(world: World, number: int) -> None:
    target = world.fleet.targets(LOOK_UP)[number - 1]
    world.call(world.fleet.kill, target.name)
