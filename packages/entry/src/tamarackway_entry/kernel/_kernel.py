"""Registry of services, and the task group that runs them."""

from typing import Protocol, TypeVar, runtime_checkable

import anyio
from tamarackway_core.errors import TamarackwayError

_Kind = TypeVar('_Kind')


@runtime_checkable
class Service(Protocol):
    """A part of the daemon with a task of its own."""

    async def run(self) -> None:
        """Work until cancelled."""


class Kernel:
    """Lets parts of the daemon find each other by name, and runs services."""

    def __init__(self) -> None:
        """Start without parts."""
        self._parts: dict[str, object] = {}

    def register(self, name: str, part: object) -> None:
        """Add a part, which is run if it is a service.

        :param name: unique name of the part.
        :param part: the part.
        :raises TamarackwayError: if the name is taken.
        """
        if name in self._parts:
            raise TamarackwayError(
                f'a part named {name!r} is registered already',
                'register each part once',
            )
        self._parts[name] = part

    def find(self, name: str, kind: type[_Kind]) -> _Kind:
        """Return the part of a name.

        :param name: name of the part.
        :param kind: class that it must have.
        :raises TamarackwayError: if there is no such part of that kind.
        """
        part = self._parts.get(name)
        if not isinstance(part, kind):
            raise TamarackwayError(
                f'there is no part {name!r} of kind {kind.__name__}',
                'register it before the parts that use it',
            )
        return part

    async def run(self, until: str) -> None:
        """Run all services until one of them ends or fails.

        :param until: name of the service whose end ends the others.
        """
        async with anyio.create_task_group() as group:
            for name, part in self._parts.items():
                if isinstance(part, Service) and name != until:
                    group.start_soon(part.run, name=name)
            await self.find(until, Service).run()  # type: ignore[type-abstract]
            group.cancel_scope.cancel()
