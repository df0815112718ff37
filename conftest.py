"""Settings of all tests: the same verdict on every run."""

import os

from hypothesis import settings

settings.register_profile(
    'repeatable',
    derandomize=True,
    deadline=None,
    database=None,
)
settings.register_profile('fuzz', deadline=None, database=None)
settings.load_profile(
    'fuzz' if os.environ.get('TAMARACKWAY_FUZZ') else 'repeatable',
)

pytest_plugins = (
    'tamarackway_bench.tests.steps_fleet',
    'tamarackway_bench.tests.steps_once',
    'tamarackway_bench.tests.steps_plans',
    'tamarackway_bench.tests.steps_targets',
    'tamarackway_bench.tests.steps_interfaces',
)
