"""The configuration that is in force on this instance."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhaven_decisions import Declaration

from ebonyhaven_node._failures import refuse

RETRY_AFTER_S = 1.0


class ConfigurationInForce:
    """Holds the declaration in force; a version never goes back."""

    __slots__ = ("_observers", "declaration", "version")

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.version = 0
        self._observers: list[Callable[[Declaration], None]] = []

    def observe(self, observer: Callable[[Declaration], None]) -> None:
        """Call ``observer`` with each declaration that comes into force."""
        self._observers.append(observer)

    def replace(self, declaration: Declaration, version: int) -> bool:
        """Put a declaration in force if it is newer.

        Parameters
        ----------
        declaration : Declaration
        version : int

        Returns
        -------
        bool
            False if this version or a later one is in force.
        """
        if version <= self.version:
            return False
        self.declaration = declaration
        self.version = version
        for observer in self._observers:
            observer(declaration)
        return True

    def require(self) -> Declaration:
        """Return the declaration in force.

        Raises
        ------
        RequestFailure
            ``not_run`` while no configuration is known yet.
        """
        if self.declaration is not None:
            return self.declaration
        raise refuse(
            "this instance has no configuration yet",
            step="identify",
            retry_after_s=RETRY_AFTER_S,
        )
