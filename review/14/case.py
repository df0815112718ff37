"""A request that crashes servers, and machines that are all killed at once.

All machines refuse the request once it has crashed a few servers. Then all of
them are killed at the same moment and start again, three times. The caller
comes again with the same request while they are in touch.
"""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common3'))

from poison import Variant, play
from rig import main

VARIANT = Variant(
    is_silent=False,
    find_path=lambda number: f'/net/slope-{1000 + number}',
    submissions=8,
    gap_s=6.0,
    kills=frozenset((1, 3, 5)),
)

main(FOLDER, lambda rig: play(rig, VARIANT))
