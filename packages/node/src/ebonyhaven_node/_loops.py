"""Work that is repeated until the process ends."""

from __future__ import annotations

from collections.abc import Callable

import structlog
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

_log = structlog.get_logger()


def start_loop(
    run: Callable[[], None], *, interval_s: float, reactor: IReactorTime
) -> LoopingCall:
    """Call a function at an interval, also after it has raised.

    Parameters
    ----------
    run : callable
    interval_s : float
        Seconds, also until the first call.
    reactor : IReactorTime

    Returns
    -------
    LoopingCall
        Ends with its method `stop`.
    """

    def run_logged() -> None:
        try:
            run()
        except Exception:
            _log.exception("loop_failed", loop=getattr(run, "__qualname__", str(run)))

    loop = LoopingCall(run_logged)
    loop.clock = reactor
    loop.start(interval_s, now=False)
    return loop
