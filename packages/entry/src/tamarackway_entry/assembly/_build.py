"""Order in which components are built."""

import uuid6
from tamarackway_core.places import parse_address

from tamarackway_entry.assembly._base import (
    build_platform,
    build_telemetry,
)
from tamarackway_entry.assembly._interfaces import build_interfaces
from tamarackway_entry.assembly._requests import build_requests
from tamarackway_entry.assembly._routing import build_routing
from tamarackway_entry.kernel import Kernel, PauseDetector, SystemClock
from tamarackway_entry.lifecycle import Lifecycle
from tamarackway_entry.settings import Settings


def build_kernel(settings: Settings) -> Kernel:
    """Return a kernel with all components of the daemon.

    :param settings: settings of the daemon.
    """
    kernel = Kernel()
    kernel.register('settings', settings)
    kernel.register('clock', SystemClock())
    kernel.register('incarnation', str(uuid6.uuid7()))
    clock = kernel.find('clock', SystemClock)
    kernel.register('lifecycle', Lifecycle(clock))
    kernel.register('pauses', PauseDetector(clock))
    for address in (settings.instance.callers, settings.instance.peers):
        parse_address(address)
    build_telemetry(kernel)
    build_platform(kernel)
    build_routing(kernel)
    build_requests(kernel)
    build_interfaces(kernel)
    return kernel
