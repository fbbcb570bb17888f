"""Start of the background tasks of a node."""

from __future__ import annotations

from collections.abc import Coroutine

import structlog
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

_log = structlog.get_logger()


def start_controller(name: str, task: Coroutine) -> None:
    """Run a controller in the background and log the error that ends it, if any.

    Parameters
    ----------
    name : str
        Name of the controller in the log.
    task : coroutine
        Returns when the controller is stopped.
    """

    def log_failure(failure: Failure) -> None:
        _log.error("controller_failed", controller=name, error=failure.getTraceback())

    Deferred.fromCoroutine(task).addErrback(log_failure)
