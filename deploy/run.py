"""Starts the daemon from a checkout, with libraries from ``target/deps``."""

import signal
import sys
from importlib import import_module
from pathlib import Path

# Until the daemon handles it, a reload has no effect: it reads its settings
# later. By default, the signal would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_ROOT = Path(__file__).resolve().parent.parent
sys.path.extend((
    str(_ROOT / 'packages' / 'core' / 'src'),
    str(_ROOT / 'packages' / 'entry' / 'src'),
    str(_ROOT / 'platform' / 'src'),
))

if __name__ == '__main__':
    import_module('tamarackway_platform.command').main()
