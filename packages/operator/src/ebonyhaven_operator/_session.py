"""Execution of a command that uses the platform."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from ebonyhaven_store import (
    InstanceListClient,
    PlatformError,
    PlatformTransport,
    RetryPolicy,
    TableClient,
)
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from ebonyhaven_operator.exceptions import EXIT_UNAVAILABLE, CommandError

REQUEST_TIMEOUT_S = 3.0


@attrs.frozen(slots=True, kw_only=True)
class Session:
    """Clients and retry policy of one command execution.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    instances : InstanceListClient
        Client of the platform's list of instances.
    retry_policy : RetryPolicy
        Deadline and jitter of the retries.
    reactor : IReactorTime
        Source of time and delayed calls.
    """

    table: TableClient
    instances: InstanceListClient
    retry_policy: RetryPolicy
    reactor: Any


def run_session(
    address: str, timeout_s: float, function: Callable[[Session], Awaitable[Any]]
) -> Any:
    """Run the reactor until a coroutine function has finished.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    timeout_s : float
        Time in seconds after which no further attempt starts.
    function : callable
        Coroutine function to call with the session.

    Returns
    -------
    object
        Result of the function.

    Raises
    ------
    CommandError
        If the command failed.
    """
    results: list[Any] = []

    async def run() -> None:
        try:
            results.append((await _run(address, timeout_s, function), None))
        except Exception as error:  # re-raised after the reactor has stopped
            results.append((None, error))
        reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(run()))
    reactor.run()
    result, error = results[0]
    if error is not None:
        raise error
    return result


async def _run(
    address: str, timeout_s: float, function: Callable[[Session], Awaitable[Any]]
) -> Any:
    transport = PlatformTransport(reactor, address, timeout_s=REQUEST_TIMEOUT_S)
    session = Session(
        table=TableClient(transport),
        instances=InstanceListClient(transport),
        retry_policy=RetryPolicy(reactor.seconds() + timeout_s, random.Random()),
        reactor=reactor,
    )
    try:
        return await function(session)
    except PlatformError as error:
        raise CommandError(
            "unavailable", str(error), exit_code=EXIT_UNAVAILABLE
        ) from error
    finally:
        await transport.close()
