"""Assignment of tasks to instances by rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def elect(names: Iterable[str], task: str) -> str | None:
    """Return the instance responsible for a task, or None without instances.

    :param names: names of the candidates.
    :param task: name of the task.

    The method is highest random weight hashing (Thaler and Ravishankar,
    1998): if a candidate is removed, only its own tasks are reassigned. It
    takes time linear in the number of candidates.

    >>> elect(['a'], 'sweep')
    'a'
    """
    return max(names, key=lambda name: _weight(name, task), default=None)


def rank_instances(names: Iterable[str], task: str) -> list[str]:
    """Return the instances in the order in which a task is assigned to them.

    :param names: names of the candidates.
    :param task: name of the task.

    >>> names = ['a', 'b', 'c']
    >>> rank_instances(names, 'sweep')[0] == elect(names, 'sweep')
    True
    """
    return sorted(names, key=lambda name: _weight(name, task), reverse=True)


def _weight(name: str, task: str) -> bytes:
    return hashlib.sha256(f'{task}/{name}'.encode()).digest()
