"""Order of configurations across histories of the store."""

from collections import OrderedDict
from typing import Final

from tamarackway_core.steering._model import Configuration

_MAX_KNOWN: Final = 256
_Identity = tuple[int, str]


class ConfigurationOrder:
    """Decides which configuration is in force on this instance.

    Within one history of the store, the one with the highest number. A restored
    store may hold an older one for a while, or one with a number that was given
    out before; what was in force does not come back.

    ``written_in`` is the history in which the current one was certainly
    written: 0 if it was found in the first read of the store, which may have
    been restored before. ``read_in`` is the history in which it was read.
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.current: Configuration | None = None
        self.written_in = 0
        self._read_in = 0
        self._known: OrderedDict[_Identity, None] = OrderedDict()

    def apply(
        self,
        configuration: Configuration,
        *,
        written_in: int = 0,
        read_in: int = 0,
    ) -> bool:
        """Put a configuration in force if it is newer; return whether it is.

        :param configuration: a configuration that the operator has confirmed.
        :param written_in: history of the store in which it was certainly
            written, 0 if that is not known.
        :param read_in: history of the store in which it was read, 0 if a peer
            told it.
        """
        known = self.current
        identity = _identify(configuration)
        if known is not None:
            if identity == _identify(known):
                self.written_in = max(self.written_in, written_in)
                self._read_in = max(self._read_in, read_in)
                return False
            if not self._is_newer(known, configuration, written_in, read_in):
                return False
        self.current = configuration
        self.written_in = written_in
        self._read_in = read_in
        self._known[identity] = None
        if len(self._known) > _MAX_KNOWN:
            self._known.popitem(last=False)
        return True

    def is_behind(self, version: int, written_in: int) -> bool:
        """Return whether a peer has a newer configuration in force.

        :param version: number of its configuration.
        :param written_in: history in which that was certainly written.
        """
        if self.current is None:
            return version > 0
        is_outdated = written_in < self.written_in
        return version > self.current.version and not is_outdated

    def _is_newer(
        self,
        known: Configuration,
        configuration: Configuration,
        written_in: int,
        read_in: int,
    ) -> bool:
        if configuration.version > known.version:
            return True
        if _identify(configuration) in self._known:
            return False
        if configuration.version == known.version:
            return read_in > self._read_in
        return written_in > self._read_in


def _identify(configuration: Configuration) -> _Identity:
    return (configuration.version, configuration.digest)
