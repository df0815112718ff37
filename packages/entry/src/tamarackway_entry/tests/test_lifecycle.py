"""Tests of the lifecycle of an instance."""

import anyio
import pytest

from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.tests.test_following import ManualClock


# Guards against a retry that begins once the waiting requests were cancelled
# and is cut without an answer when the process ends.
@pytest.mark.parametrize('is_early', [True, False])
def test_attempts_are_cancelled_whenever_they_begin(*, is_early: bool) -> None:
    lifecycle = Lifecycle(ManualClock())

    async def attempt() -> bool:
        if not is_early:
            lifecycle.cancel_attempts()
        with anyio.fail_after(1), lifecycle.track_attempt() as scope:
            if is_early:
                lifecycle.cancel_attempts()
            await anyio.sleep_forever()
        return scope.cancelled_caught

    assert anyio.run(attempt)
