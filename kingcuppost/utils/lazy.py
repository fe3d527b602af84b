"""Re-exports that are imported when they are first used.

A process imports only what its role runs; start-up is part of every recovery.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(
    exports: dict[str, str], load_first: tuple[str, ...] = ()
) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` for names that live elsewhere.

    Parameters
    ----------
    exports : dict of str to str
        Module that defines each name.
    load_first : tuple of str
        Modules that are imported before any of the names is given out, since they
        fill registries.

    Examples
    --------
    >>> getter = lazy_exports({"sqrt": "math"})
    >>> getter("sqrt")(9)
    3.0
    """

    def load_export(name: str) -> Any:
        if name not in exports:
            raise AttributeError(name)
        for module in load_first:
            import_module(module)
        return getattr(import_module(exports[name]), name)

    return load_export
