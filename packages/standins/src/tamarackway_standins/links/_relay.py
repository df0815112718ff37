"""TCP relay that adds delays and faults to connections."""

from dataclasses import dataclass
from typing import Final

import anyio
from anyio.abc import SocketAttribute, SocketStream

from tamarackway_standins.links._topology import Topology
from tamarackway_standins.serving import split_address

_POLL_INTERVAL_S: Final = 0.05
_BACKLOG: Final = 1024
_CHUNK_BYTES: Final = 65536


@dataclass(slots=True)
class Connection:
    """One relayed connection.

    :param client_place: place of the connecting side.
    :param server_place: place of the accepting side.
    :param black_holed: whether all data on the connection is dropped.
    """

    client_place: str
    server_place: str
    black_holed: bool = False


class Relay:
    """Accepts connections on one address and forwards them to another.

    :param topology: delays and network partitions.
    :param listen: address to accept connections on.
    :param forward: address to forward connections to.
    :param place: place of the server at ``forward``.
    """

    def __init__(
        self,
        topology: Topology,
        listen: str,
        forward: str,
        place: str,
    ) -> None:
        """Create a relay; ``run`` starts it."""
        self.listen = listen
        self._topology = topology
        self._forward = forward
        self._place = place
        self._connections: list[Connection] = []

    def black_hole(self) -> int:
        """Drop all data on the open connections and return their number."""
        for connection in self._connections:
            connection.black_holed = True
        return len(self._connections)

    async def run(self) -> None:
        """Accept connections until cancelled."""
        host, port = split_address(self.listen)
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=_BACKLOG,
        )
        await listener.serve(self._relay)

    async def _relay(self, client: SocketStream) -> None:
        host = client.extra(  # ruff: ignore[django-extra]
            SocketAttribute.remote_address,
        )[0]
        connection = Connection(
            self._topology.find_place(str(host)), self._place
        )
        self._connections.append(connection)
        try:
            async with client:
                await self._connect(client, connection)
        except (OSError, anyio.BrokenResourceError):
            return
        finally:
            self._connections.remove(connection)

    async def _connect(
        self, client: SocketStream, connection: Connection
    ) -> None:
        await self._wait_while_partitioned(connection)
        await anyio.sleep(
            2
            * self._topology.delay_s(
                connection.client_place, connection.server_place
            )
        )
        host, port = split_address(self._forward)
        async with (
            await anyio.connect_tcp(host, port) as server,
            anyio.create_task_group() as group,
        ):
            scope = group.cancel_scope
            group.start_soon(self._copy, client, server, connection, scope)
            group.start_soon(self._copy, server, client, connection, scope)

    async def _copy(
        self,
        source: SocketStream,
        sink: SocketStream,
        connection: Connection,
        scope: anyio.CancelScope,
    ) -> None:
        sender, receiver = anyio.create_memory_object_stream[
            tuple[float, bytes]
        ](1024)
        async with anyio.create_task_group() as group, sender:
            group.start_soon(
                self._send_delayed, receiver, sink, connection, scope
            )
            try:
                while True:
                    chunk = await source.receive(_CHUNK_BYTES)
                    delay_s = self._topology.delay_s(
                        connection.client_place, connection.server_place
                    )
                    await sender.send((anyio.current_time() + delay_s, chunk))
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    async def _send_delayed(
        self,
        receiver: anyio.abc.ObjectReceiveStream[tuple[float, bytes]],
        sink: SocketStream,
        connection: Connection,
        scope: anyio.CancelScope,
    ) -> None:
        async for due_s, chunk in receiver:
            await anyio.sleep(max(due_s - anyio.current_time(), 0))
            await self._wait_while_partitioned(connection)
            if connection.black_holed:
                await anyio.sleep_forever()
            try:
                await sink.send(chunk)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                break
        await self._wait_while_partitioned(connection)
        if connection.black_holed:
            await anyio.sleep_forever()
        scope.cancel()

    async def _wait_while_partitioned(self, connection: Connection) -> None:
        while self._topology.is_partitioned(
            connection.client_place, connection.server_place
        ):
            await anyio.sleep(_POLL_INTERVAL_S)
