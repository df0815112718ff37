"""Heartbeats over a link, which detect that a peer no longer replies."""

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
    build_heartbeat: Callable[[], Message | None],
    handle_reply: Callable[[Message], None],
) -> None:
    """Send heartbeats until cancelled, and reset a link that gets no replies.

    :param link: connection to the peer.
    :param interval_s: time between heartbeats in seconds.
    :param reply_timeout_s: maximum time to wait for a reply in seconds.
    :param build_heartbeat: returns the next heartbeat, or None to skip one.
    :param handle_reply: called with each reply.
    """
    missed = 0
    while True:
        await anyio.sleep(interval_s)
        heartbeat = build_heartbeat()
        if heartbeat is None:
            continue
        try:
            reply = await link.request(heartbeat, reply_timeout_s)
        except PeerUnreachableError:
            missed += 1
            if missed >= _MAX_MISSED:
                await link.reset()
                missed = 0
            continue
        missed = 0
        handle_reply(reply)
