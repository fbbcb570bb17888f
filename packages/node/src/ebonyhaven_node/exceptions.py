"""Errors of the node that are not outcomes of a request."""

from __future__ import annotations


class NodeError(Exception):
    """Base class of the errors of this package."""


class SettingsError(NodeError):
    """Raised when settings are invalid.

    Parameters
    ----------
    key : str
        Invalid key, or path of the file.
    expected : str
        Expected value.
    value : object
        Actual value.
    """

    def __init__(self, key: str, expected: str, value: object):
        super().__init__(f"{key}: expected {expected}, got {value!r}")
        self.key = key


class UnsendableRequest(NodeError):
    """Raised when a request cannot be expressed in HTTP; nothing of it was sent."""


class EngineRefusal(NodeError):
    """Raised when it is certain that an engine did not run a request.

    Parameters
    ----------
    peer : str
        Name of the backend server.
    status : int
        HTTP status, or 0 when no connection could be made.
    reason : str
        Error name in the response, or the kind of connection error.
    """

    def __init__(self, *, peer: str, status: int, reason: str):
        super().__init__(f"{peer} refused with {status} {reason}")
        self.peer = peer
        self.status = status
        self.reason = reason


class EngineLost(NodeError):
    """Raised when an engine may have run a request but does not respond.

    Parameters
    ----------
    peer : str
        Name of the backend server.
    step : str
        Step that failed: ``start``, ``attach``, ``cancel`` or ``find``.
    closed : bool
        Whether the connection was closed; False, for example, after a timeout.
    """

    def __init__(self, *, peer: str, step: str, closed: bool = False):
        super().__init__(f"contact to {peer} lost at {step}")
        self.peer = peer
        self.step = step
        self.closed = closed


class ServerResting(NodeError):
    """Raised when a backend server turns a call away and wants none for some time.

    Parameters
    ----------
    rest_s : float
        Seconds.
    """

    def __init__(self, rest_s: float):
        super().__init__(f"the server wants no calls for {rest_s:.2f} s")
        self.rest_s = rest_s
