"""Servers in trouble send trailers without end; the daemons' memory grows."""

import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import kit
import memory

# As the site's garble "extra late" with share = 0.6, x = 0.03 for 5 s.
TROUBLE = memory.Trouble(
    servers=4,
    share=0.03,
    length_s=5.0,
    rounds=4,
    start=b'\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n',
    piece=b'a:\r\n' * 8192,
)


async def case(record):
    return await memory.play(record, TROUBLE)


if __name__ == '__main__':
    sys.exit(kit.run_case(FOLDER, case))
