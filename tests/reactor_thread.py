"""Runs test coroutines on one Twisted reactor in a background thread."""

from __future__ import annotations

import threading
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.threads import blockingCallFromThread

TIMEOUT_S = 60.0
_start_lock = threading.Lock()


def _ensure_running() -> None:
    with _start_lock:
        if reactor.running:
            return
        started = threading.Event()
        reactor.callWhenRunning(started.set)
        threading.Thread(
            target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
        ).start()
        started.wait(TIMEOUT_S)


def run_in_reactor(
    function: Callable[..., Coroutine], *arguments: Any, timeout_s: float = TIMEOUT_S
) -> Any:
    """Run a coroutine function on the reactor and return its result.

    Blocks the calling thread. Starts the reactor on the first call.

    Parameters
    ----------
    function : callable
        Coroutine function.
    *arguments : object
        Positional arguments for it.
    timeout_s : float
        Seconds after which the coroutine is cancelled.

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    twisted.internet.defer.TimeoutError
        If the timeout expired.
    """
    _ensure_running()

    def start() -> Deferred:
        result = Deferred.fromCoroutine(function(*arguments))
        return result.addTimeout(timeout_s, reactor)

    return blockingCallFromThread(reactor, start)
