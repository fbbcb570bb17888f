"""Active configuration of this instance."""

from __future__ import annotations

from collections.abc import Callable

from ebonyhaven_decisions import Declaration

from ebonyhaven_node._failures import make_not_run_failure

NO_CONFIGURATION_RETRY_S = 1.0


class ActiveConfiguration:
    """Active declaration and its version, which only increases."""

    __slots__ = ("_observers", "declaration", "version")

    def __init__(self) -> None:
        self.declaration: Declaration | None = None
        self.version = 0
        self._observers: list[Callable[[Declaration], None]] = []

    def observe(self, observer: Callable[[Declaration], None]) -> None:
        """Call ``observer`` with each declaration that becomes active."""
        self._observers.append(observer)

    def replace(self, declaration: Declaration, version: int) -> bool:
        """Activate a declaration if it is newer than the active one.

        Parameters
        ----------
        declaration : Declaration
        version : int

        Returns
        -------
        bool
            False if this version or a later one is already active.
        """
        if version <= self.version:
            return False
        self.declaration = declaration
        self.version = version
        for observer in self._observers:
            observer(declaration)
        return True

    def require(self) -> Declaration:
        """Return the active declaration.

        Raises
        ------
        RequestFailure
            ``not_run`` if no configuration has been received yet.
        """
        if self.declaration is not None:
            return self.declaration
        raise make_not_run_failure(
            "this instance has no configuration yet",
            step="identify",
            retry_after_s=NO_CONFIGURATION_RETRY_S,
        )
