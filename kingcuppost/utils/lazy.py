"""Re-exported names whose modules are imported on first use.

A process imports only the modules that its role runs, since the time to start adds to
the time of every recovery.
"""

from collections.abc import Callable
from importlib import import_module
from typing import Any

__all__ = ["lazy_exports"]


def lazy_exports(
    exports: dict[str, str], load_first: tuple[str, ...] = ()
) -> Callable[[str], Any]:
    """Return a module's ``__getattr__`` for names that other modules define.

    Parameters
    ----------
    exports : dict of str to str
        Defining module of each name.
    load_first : tuple of str
        Modules that are imported before the first name is returned, since their
        decorators fill registries.

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
