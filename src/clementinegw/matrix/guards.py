"""Guards that can be broken one at a time, to show that the matrix can fail.

A guard is broken from outside, by putting a weaker method in place of the real
one for as long as some cells are played. Production code has no switch for it.
"""

from collections.abc import Callable, Iterator
import contextlib
import dataclasses
from typing import Any
from unittest import mock


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """One method that is replaced.

    Attributes:
      owner: The class or module that has it.
      name: Its name there.
      weaker: Takes its place.
    """

    owner: Any
    name: str
    weaker: Any


@dataclasses.dataclass(frozen=True, slots=True)
class Guard:
    """Something that keeps a promise, and how to break it.

    Attributes:
      name: What is missing when it is broken.
      promise: The promise that it keeps: cells must turn red by it.
      patches: What is replaced.
      paths: The paths whose cells must turn red.
      cells: Cells of the first path to try first, as `FAULT@STEP`; pairs
        are joined by `:`.
    """

    name: str
    promise: str
    patches: tuple[Patch, ...]
    paths: tuple[str, ...]
    cells: tuple[str, ...] = ()


@contextlib.contextmanager
def broken(guard: Guard) -> Iterator[None]:
    """Breaks a guard for the length of a block."""
    with contextlib.ExitStack() as stack:
        for patch in guard.patches:
            stack.enter_context(
                mock.patch.object(patch.owner, patch.name, patch.weaker)
            )
        yield


def around(
    owner: Any, name: str, make: Callable[[Callable], Callable]
) -> Patch:
    """Returns a patch that wraps a method.

    Args:
      owner: The class or module.
      name: The method.
      make: Gets the method and returns the one in its place.
    """
    return Patch(owner, name, make(getattr(owner, name)))
