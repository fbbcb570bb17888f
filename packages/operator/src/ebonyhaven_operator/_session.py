"""One run of a command against the platform."""

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
    """Clients of one run.

    Parameters
    ----------
    table : TableClient
        The platform's table.
    instances : InstanceListClient
        The platform's list.
    retry_policy : RetryPolicy
        How long to try.
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
    """Run a coroutine function with clients of the platform.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    timeout_s : float
        Seconds after which no new attempt starts.
    function : callable
        Coroutine function that takes the session.

    Returns
    -------
    object
        What the function returned.

    Raises
    ------
    CommandError
        If the command failed.
    """
    results: list[Any] = []

    async def run() -> None:
        try:
            results.append((await _run(address, timeout_s, function), None))
        except Exception as error:  # raised again outside the reactor
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
