"""Regular questions over a link, which show whether the peer lives."""

from collections.abc import Callable
from typing import Final

import anyio
from tamarackway_core.wire import Message

from tamarackway_entry.links._link import PeerLink, PeerUnreachableError

_MAX_MISSED: Final = 2


async def send_heartbeats(
    link: PeerLink,
    interval_s: float,
    reply_timeout_s: float,
    make: Callable[[], Message | None],
    take: Callable[[Message], None],
) -> None:
    """Send heartbeats until cancelled, and reset a link that went silent.

    :param link: connection to the peer.
    :param interval_s: time between heartbeats in seconds.
    :param reply_timeout_s: longest wait for a reply in seconds.
    :param make: returns the next heartbeat, or None to leave one out.
    :param take: is given each reply.
    """
    missed = 0
    while True:
        await anyio.sleep(interval_s)
        beat = make()
        if beat is None:
            continue
        try:
            reply = await link.request(beat, reply_timeout_s)
        except PeerUnreachableError:
            missed += 1
            if missed >= _MAX_MISSED:
                await link.reset()
                missed = 0
            continue
        missed = 0
        take(reply)
