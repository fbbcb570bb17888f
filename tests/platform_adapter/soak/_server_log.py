"""What backend servers note of the requests that reach them."""

from __future__ import annotations

from typing import NamedTuple


class Arrival(NamedTuple):
    """A request that reached a server.

    Parameters
    ----------
    request_id, path : str
    process : str
        Id of the server's process.
    at : float
        When the server read it; seconds of the reactor's clock.
    has_run : bool
        Whether the server ran it; False if it was refused.
    received_at : float
        When its last bytes came, which a paused server reads later.
    refused_with : int or None
        Status of a refusal.
    remaining_s : float or None
        Time that the server was told to have for it, seconds.
    """

    request_id: str
    path: str
    process: str
    at: float
    has_run: bool
    received_at: float = 0.0
    refused_with: int | None = None
    remaining_s: float | None = None


class RunEnd(NamedTuple):
    """The end of a request at a server.

    Parameters
    ----------
    request_id, process : str
    at : float
        Seconds of the reactor's clock.
    is_broken_off : bool
        Whether the server ended it without an answer.
    is_bad : bool
        Whether the answer shows a fault of the server's version.
    was_stopped : bool
        Whether it was in progress when the process ended.
    """

    request_id: str
    process: str
    at: float
    is_broken_off: bool
    is_bad: bool = False
    was_stopped: bool = False


class Fall(NamedTuple):
    """The end of a brittle server that had to refuse too much.

    Parameters
    ----------
    process : str
    at : float
        Seconds of the reactor's clock.
    refused_ids : tuple of str
        Requests that it refused in the last second.
    """

    process: str
    at: float
    refused_ids: tuple[str, ...]


class NamedRest(NamedTuple):
    """An answer in which a server said that it wants no requests for some time.

    Parameters
    ----------
    process, request_id : str
    at : float
        Seconds of the reactor's clock.
    rest_s : float
        Seconds.
    """

    process: str
    request_id: str
    at: float
    rest_s: float


class ServerLog:
    """What all servers note.

    Attributes
    ----------
    arrivals : list of Arrival
    ends : list of RunEnd
    falls : list of Fall
    leaving_answers : set of (str, str)
        Process and request of the answers that said that the server leaves.
    rests : list of NamedRest
    """

    def __init__(self):
        self.arrivals: list[Arrival] = []
        self.ends: list[RunEnd] = []
        self.falls: list[Fall] = []
        self.leaving_answers: set[tuple[str, str]] = set()
        self.rests: list[NamedRest] = []
