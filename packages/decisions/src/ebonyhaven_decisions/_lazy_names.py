"""Names of a package whose modules are imported when a name is first used."""

from __future__ import annotations

import importlib
import sys
from collections.abc import Callable, Mapping
from typing import Any


def attach_names(
    package: str, modules: Mapping[str, tuple[str, ...]]
) -> tuple[Callable[[str], Any], Callable[[], list[str]], list[str]]:
    """Return what a package needs to provide names of its modules.

    Parameters
    ----------
    package : str
        Name of the package.
    modules : mapping of str to tuple of str
        Names that each module of the package provides.

    Returns
    -------
    import_name : callable
        For ``__getattr__`` of the package.
    list_names : callable
        For ``__dir__`` of the package.
    names : list of str
        For ``__all__`` of the package.
    """
    owners = {name: module for module, names in modules.items() for name in names}

    def import_name(name: str) -> Any:
        if name not in owners:
            raise AttributeError(f"module {package!r} has no attribute {name!r}")
        module = importlib.import_module(f"{package}.{owners[name]}")
        value = getattr(module, name)
        setattr(sys.modules[package], name, value)  # found there from now on
        return value

    def list_names() -> list[str]:
        return sorted({*vars(sys.modules[package]), *owners})

    return import_name, list_names, sorted(owners)
