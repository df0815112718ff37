"""Fixture with a fleet and an event loop in a background thread."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from anyio.from_thread import start_blocking_portal

from tamarackway_bench.tests.world import World


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    with start_blocking_portal() as portal:
        world = World(portal, tmp_path)
        try:
            yield world
        finally:
            world.close()
