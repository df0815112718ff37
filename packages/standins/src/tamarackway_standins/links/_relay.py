"""Relays the connections of one address with delays and faults."""

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream

from tamarackway_standins.links._topology import Topology
from tamarackway_standins.serving import split_address

_POLL_S: Final = 0.05
_BACKLOG: Final = 1024
_CHUNK_BYTES: Final = 65536


@dataclass(slots=True)
class Path:
    """One relayed connection.

    :param near: place of the side that connected.
    :param far: place of the side that was connected to.
    :param silent: whether everything on the connection is swallowed.
    """

    near: str
    far: str
    silent: bool = False


class Relay:
    """Accepts connections on one address and passes them to another.

    :param topology: delays and cuts.
    :param listen: address to accept connections on.
    :param forward: address to pass them to.
    :param place: place of the far side.
    """

    def __init__(
        self,
        topology: Topology,
        listen: str,
        forward: str,
        place: str,
    ) -> None:
        """Start without connections."""
        self.listen = listen
        self._topology = topology
        self._forward = forward
        self._place = place
        self._paths: list[Path] = []

    def silence(self) -> int:
        """Swallow everything on the open connections; return how many."""
        for path in self._paths:
            path.silent = True
        return len(self._paths)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        host, port = split_address(self.listen)
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=_BACKLOG,
        )
        await listener.serve(self._relay)

    async def _relay(self, near: SocketStream) -> None:
        host = near.extra(  # ruff: ignore[django-extra]
            SocketAttribute.remote_address,
        )[0]
        path = Path(self._topology.find_place(str(host)), self._place)
        self._paths.append(path)
        try:
            async with near:
                await self._connect(near, path)
        except (OSError, anyio.BrokenResourceError):
            return
        finally:
            self._paths.remove(path)

    async def _connect(self, near: SocketStream, path: Path) -> None:
        await self._wait_while_cut(path)
        await anyio.sleep(2 * self._topology.delay_s(path.near, path.far))
        host, port = split_address(self._forward)
        async with (
            await anyio.connect_tcp(host, port) as far,
            anyio.create_task_group() as group,
        ):
            scope = group.cancel_scope
            group.start_soon(self._pump, near, far, path, scope)
            group.start_soon(self._pump, far, near, path, scope)

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        path: Path,
        scope: anyio.CancelScope,
    ) -> None:
        sender, receiver = anyio.create_memory_object_stream[
            tuple[float, bytes]
        ](1024)
        async with anyio.create_task_group() as group, sender:
            group.start_soon(self._deliver, receiver, sink, path, scope)
            try:
                while True:
                    chunk = await source.receive(_CHUNK_BYTES)
                    delay_s = self._topology.delay_s(path.near, path.far)
                    await sender.send((anyio.current_time() + delay_s, chunk))
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    async def _deliver(
        self,
        receiver: anyio.abc.ObjectReceiveStream[tuple[float, bytes]],
        sink: SocketStream,
        path: Path,
        scope: anyio.CancelScope,
    ) -> None:
        async for due_s, chunk in receiver:
            await anyio.sleep(max(due_s - anyio.current_time(), 0))
            await self._wait_while_cut(path)
            if path.silent:
                await anyio.sleep_forever()
            try:
                await sink.send(chunk)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
        await self._wait_while_cut(path)
        if path.silent:
            await anyio.sleep_forever()
        scope.cancel()

    async def _wait_while_cut(self, path: Path) -> None:
        while self._topology.is_cut(path.near, path.far):
            await anyio.sleep(_POLL_S)
