"""Registry of components, and the task group that runs services."""

from typing import Protocol, TypeVar, runtime_checkable

import anyio
from tamarackway_core.errors import TamarackwayError

_ComponentT = TypeVar('_ComponentT')


@runtime_checkable
class Service(Protocol):
    """A component that runs in a task of its own."""

    async def run(self) -> None:
        """Run until cancelled."""


class Kernel:
    """Registers the components of the daemon by name and runs services."""

    def __init__(self) -> None:
        """Start with no components."""
        self._components: dict[str, object] = {}

    def register(self, name: str, component: object) -> None:
        """Register a component, which is run if it is a service.

        :param name: unique name of the component.
        :param component: the component.
        :raises TamarackwayError: if the name is taken.
        """
        if name in self._components:
            raise TamarackwayError(
                f'component {name!r} is already registered',
                'register each component once',
            )
        self._components[name] = component

    def find(self, name: str, kind: type[_ComponentT]) -> _ComponentT:
        """Return the component registered under a name.

        :param name: name of the component.
        :param kind: type that the component must have.
        :raises TamarackwayError: if no component has this name and type.
        """
        component = self._components.get(name)
        if not isinstance(component, kind):
            raise TamarackwayError(
                f'no component {name!r} of type {kind.__name__}',
                'register it before the components that use it',
            )
        return component

    async def run(self, until: str) -> None:
        """Run all services until one given service ends or any fails.

        :param until: name of the service whose end cancels the others.
        """
        async with anyio.create_task_group() as group:
            for name, component in self._components.items():
                if isinstance(component, Service) and name != until:
                    group.start_soon(component.run, name=name)
            await self.find(until, Service).run()  # type: ignore[type-abstract]
            group.cancel_scope.cancel()
