"""Choice of one instance that all agree on, by rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def elect(names: Iterable[str], task: str) -> str | None:
    """Return the name that is responsible for a task, or None without names.

    :param names: candidates.
    :param task: name of the task.

    The method is highest random weight hashing (Thaler and Ravishankar,
    1998): when a candidate goes, only its own tasks move. Takes time linear
    in the number of candidates.

    >>> elect(['a'], 'sweep')
    'a'
    """
    return max(names, key=lambda name: _weight(name, task), default=None)


def _weight(name: str, task: str) -> bytes:
    return hashlib.sha256(f'{task}/{name}'.encode()).digest()
