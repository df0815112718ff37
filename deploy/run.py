"""Starts the daemon from a checkout, with libraries from ``target/deps``."""

import sys
from importlib import import_module
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
sys.path.extend((
    str(_ROOT / 'packages' / 'core' / 'src'),
    str(_ROOT / 'packages' / 'entry' / 'src'),
    str(_ROOT / 'platform' / 'src'),
))

if __name__ == '__main__':
    import_module('tamarackway_platform.command').main()
