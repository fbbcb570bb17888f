"""Log lines of the attempts at requests and streams."""

from __future__ import annotations

import structlog
from ebonyhaven_decisions.forwarding import Backend, EngineUse, TokenDemand

from ebonyhaven_node.forwarding._attempts import Attempt
from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._crash_guards import CrashGuard
from ebonyhaven_node.forwarding._progress import StreamProgress
from ebonyhaven_node.forwarding._requests import ForwardRequest
from ebonyhaven_node.forwarding._run_copies import RunCopy
from ebonyhaven_node.forwarding._stream_attempts import AttemptResult

_log = structlog.get_logger()


def log_call_sent(
    attempt: Attempt,
    *,
    request: ForwardRequest,
    route_name: str,
    guard: CrashGuard,
    attempts: int,
    now: float,
    context: RelayContext,
) -> None:
    """Log that a request with a single response is sent to a server.

    Parameters
    ----------
    attempt : Attempt
    request : ForwardRequest
    route_name : str
    guard : CrashGuard
    attempts : int
        Number of this attempt.
    now : float
        Seconds.
    context : RelayContext
    """
    backend = attempt.backend
    _log.info(
        "call_sent",
        request=request.request_id,
        route=route_name,
        service=backend.entry.service,
        traits=guard.traits,
        server=backend.server_id,
        attempt=attempts,
        budget_shares=context.budget.instances,
        load=round(backend.in_flight + backend.load.others, 1),
        failure_share=round(backend.failure_share, 2),
        waited_s=round(now - request.arrived_at, 3),
    )


def log_stream_sent(
    attempt: Attempt,
    *,
    request: ForwardRequest,
    route_name: str,
    guard: CrashGuard,
    holder: Backend | None,
    demand: TokenDemand,
    attempts: int,
    now: float,
    context: RelayContext,
) -> None:
    """Log that a stream is sent to a server, and what decided it.

    Parameters
    ----------
    attempt : Attempt
    request : ForwardRequest
    route_name : str
    guard : CrashGuard
    holder : Backend or None
        Server that gets a copy of the run.
    demand : TokenDemand
    attempts : int
        Number of this attempt.
    now : float
        Seconds.
    context : RelayContext
    """
    backend, plan = attempt.backend, attempt.plan
    peer_use = context.peers.sum_by_server(now).get(backend.server_id, EngineUse())
    _log.info(
        "stream_sent",
        request=request.request_id,
        route=route_name,
        traits=guard.traits,
        server=backend.server_id,
        service=backend.entry.service,
        data_centre=backend.entry.data_centre,
        version=backend.software_version,
        from_copy=plan.copy is not None,
        copy_to=holder.server_id if holder else None,
        position=plan.last_event_id,
        attempt=attempts,
        budget_shares=context.budget.instances,
        tokens=demand.tokens,
        own_use=[backend.run_tokens, backend.copy_tokens, backend.prefill_tokens],
        peer_use=list(peer_use),
        waited_s=round(now - request.arrived_at, 3),
        remaining_s=round(plan.remaining_s, 3),
    )


def log_stream_attempt_ended(
    result: AttemptResult,
    *,
    request: ForwardRequest,
    backend: Backend,
    is_from_copy: bool,
    progress: StreamProgress,
    copy: RunCopy | None,
    now: float,
) -> None:
    """Log how an attempt at a stream ended, and what it may go on from.

    Parameters
    ----------
    result : AttemptResult
    request : ForwardRequest
    backend : Backend
        Server of the attempt.
    is_from_copy : bool
        Whether the attempt resumed from a copy.
    progress : StreamProgress
    copy : RunCopy or None
        Copy of the run that ended.
    now : float
        Seconds.
    """
    _log.info(
        "stream_attempt_ended",
        request=request.request_id,
        server=backend.server_id,
        end=result.end.value,
        reason=result.reason,
        delivered=progress.delivered,
        position=progress.position,
        from_copy=is_from_copy,
        copy_at=copy.holder.server_id if copy and copy.holder else None,
        copy_usable=copy is not None and copy.is_usable(now),
    )
