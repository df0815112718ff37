"""Settings for stateful tests."""

import os

from hypothesis import HealthCheck, settings

LONG = bool(os.environ.get('TAMARACKWAY_FUZZ'))
FUZZING = settings(
    max_examples=1500 if LONG else 100,
    stateful_step_count=100 if LONG else 60,
    deadline=None,
    derandomize=not LONG,
    suppress_health_check=list(HealthCheck),
    database=None,
)
