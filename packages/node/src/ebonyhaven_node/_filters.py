"""Filters for generation requests, outermost first."""

from __future__ import annotations

import hashlib
import hmac
import random
import secrets
from typing import Protocol

from ebonyhaven_decisions import (
    Declaration,
    OutcomeTag,
    Pool,
    PoolKind,
    RequestClass,
    RequestFailure,
)
from twisted.internet.defer import ensureDeferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._active_configuration import ActiveConfiguration
from ebonyhaven_node._driver_dependencies import (
    DriverDependencies,
    RunTargets,
    make_generation,
)
from ebonyhaven_node._drivers import RunDriver
from ebonyhaven_node._exchanges import Exchange
from ebonyhaven_node._failures import make_not_run_failure
from ebonyhaven_node._filter_chain import Filter, Proceed
from ebonyhaven_node._metrics import RelayMetrics
from ebonyhaven_node._requests import (
    GenerationRequest,
    make_rejection,
    parse_first_submission,
    parse_generation_request,
    parse_idempotency_key,
    parse_position,
    parse_repeatable,
)
from ebonyhaven_node._runs import Run, RunRegistry
from ebonyhaven_node._sinks import CallerStream, write_outcome

GENERATED_KEY_BYTES = 16


class InstanceStatus(Protocol):
    """Whether this instance accepts new runs."""

    leaving: bool


class OutcomeFilter(Filter[Exchange]):
    """Counts failed requests by outcome and responds to them.

    Parameters
    ----------
    metrics : RelayMetrics
    """

    def __init__(self, metrics: RelayMetrics):
        self._metrics = metrics

    async def handle(self, exchange: Exchange, proceed: Proceed[Exchange]) -> None:
        """See `Filter.handle`."""
        try:
            await proceed(exchange)
        except RequestFailure as failure:
            outcome = failure.outcome
            self._metrics.requests.labels(str(outcome.tag), outcome.step).inc()
            write_outcome(exchange.http_request, outcome)


class IdentifyFilter(Filter[Exchange]):
    """Identifies the workspace of a request and checks its key.

    Parameters
    ----------
    configuration : ActiveConfiguration
    """

    def __init__(self, configuration: ActiveConfiguration):
        self._configuration = configuration

    async def handle(self, exchange: Exchange, proceed: Proceed[Exchange]) -> None:
        """See `Filter.handle`."""
        declaration = self._configuration.require()
        name = exchange.read_header("Ebonyhaven-Workspace")
        if name is None:
            raise make_rejection("Ebonyhaven-Workspace is missing", step="identify")
        workspace = declaration.workspaces.get(name)
        if workspace is None:
            raise make_rejection(
                f"unknown workspace {name!r}", status=403, step="identify"
            )
        if workspace.key_sha256:
            self._check_key(exchange, workspace.key_sha256)
        exchange.workspace = name
        exchange.declaration = declaration
        await proceed(exchange)

    def _check_key(self, exchange: Exchange, expected: str) -> None:
        header = exchange.read_header("Authorization") or ""
        key = header.removeprefix("Bearer ").encode()
        if not hmac.compare_digest(hashlib.sha256(key).hexdigest(), expected):
            raise make_rejection("wrong workspace key", status=401, step="identify")


class ValidateFilter(Filter[Exchange]):
    """Validates headers and body against the declaration."""

    async def handle(self, exchange: Exchange, proceed: Proceed[Exchange]) -> None:
        """See `Filter.handle`."""
        request_class = self._find_class(exchange)
        generated = secrets.token_hex(GENERATED_KEY_BYTES)
        key = parse_idempotency_key(
            exchange.read_header("Idempotency-Key"), generated=generated
        )
        request = parse_generation_request(
            exchange.body,
            workspace=exchange.workspace,
            class_name=request_class.name,
            key=key,
            repeatable=parse_repeatable(exchange.read_header("Ebonyhaven-Repeatable")),
            first_submission=parse_first_submission(
                exchange.read_header("Ebonyhaven-First-Submission"),
                has_key=exchange.read_header("Idempotency-Key") is not None,
            ),
            last_event=parse_position(exchange.read_header("Last-Event-ID")),
        )
        if request.model not in exchange.declaration.models:
            raise make_rejection(f"unknown model {request.model!r}", status=404)
        if request.first_offset > request.max_tokens + 1:
            raise make_rejection("Last-Event-ID lies beyond max_tokens")
        exchange.request_class = request_class
        exchange.request = request
        await proceed(exchange)

    def _find_class(self, exchange: Exchange) -> RequestClass:
        name = exchange.read_header("Ebonyhaven-Class")
        if name is None:
            if exchange.declaration.default_class is None:
                raise make_rejection(
                    "Ebonyhaven-Class is missing and there is no default"
                )
            return exchange.declaration.default_class
        request_class = exchange.declaration.classes.get(name)
        if request_class is None:
            raise make_rejection(f"unknown class {name!r}")
        return request_class


class AttachFilter(Filter[Exchange]):
    """Attaches a request to its existing run, or starts a new run for it.

    Parameters
    ----------
    registry : RunRegistry
    driver_dependencies : DriverDependencies
    status : InstanceStatus
    rng : random.Random
    """

    def __init__(
        self,
        *,
        registry: RunRegistry,
        driver_dependencies: DriverDependencies,
        status: InstanceStatus,
        rng: random.Random,
    ):
        self._registry = registry
        self._driver_dependencies = driver_dependencies
        self._status = status
        self._rng = rng

    async def handle(self, exchange: Exchange, proceed: Proceed[Exchange]) -> None:
        """See `Filter.handle`."""
        existing = self._find_existing_run(exchange.request)
        exchange.run = existing or self._start_run(exchange)
        await proceed(exchange)

    def _find_existing_run(self, request: GenerationRequest) -> Run | None:
        run = self._registry.find(request.run_id)
        if run is None:
            return None
        if run.request.digest != request.digest:
            reason = "the idempotency key was used with a different body"
            raise make_rejection(reason, status=409, step="deduplicate")
        if request.last_event is not None and not run.contains_position(
            request.last_event
        ):
            return None
        if run.outcome is None:
            return run
        if request.repeatable or run.outcome.tag is OutcomeTag.NOT_RUN:
            return None
        return run

    def _start_run(self, exchange: Exchange) -> Run:
        request = exchange.request
        if self._status.leaving and request.last_event is None:
            raise _make_leaving_failure()
        position = request.last_event
        generation = (
            make_generation(self._rng) if position is None else position.generation
        )
        run = Run(request=request, generation=generation)
        self._copy_abandoned_output(run)
        driver = RunDriver(
            run=run,
            targets=derive_targets(exchange.declaration, exchange.request_class, run),
            dependencies=self._driver_dependencies,
        )
        self._registry.add(run)
        if position is None:
            ensureDeferred(driver.drive_new_run())
        else:
            server = self._driver_dependencies.servers.find(position.server)
            ensureDeferred(driver.drive_existing_run(server))
        return run

    def _copy_abandoned_output(self, run: Run) -> None:
        """Copy the tokens of a run that was stopped after its caller disconnected."""
        position = run.request.last_event
        earlier = self._registry.find(run.request.run_id)
        if earlier is None or position is None or not earlier.abandoned:
            return
        if earlier.contains_position(position):
            run.texts = earlier.texts[:]
            run.segments = earlier.segments[:]


class RelayFilter(Filter[Exchange]):
    """Streams the output of the run to the caller.

    Parameters
    ----------
    metrics : RelayMetrics
    reactor : IReactorTime
    """

    def __init__(self, *, metrics: RelayMetrics, reactor: IReactorTime):
        self._metrics = metrics
        self._reactor = reactor

    async def handle(self, exchange: Exchange, proceed: Proceed[Exchange]) -> None:
        """See `Filter.handle`."""
        stream = CallerStream(
            http_request=exchange.http_request,
            run=exchange.run,
            request=exchange.request,
            resume_target_s=exchange.request_class.resume_ms / 1000,
            reactor=self._reactor,
            metrics=self._metrics,
        )
        stream.open()
        await proceed(exchange)


def derive_targets(
    declaration: Declaration, request_class: RequestClass, run: Run
) -> RunTargets:
    """Return the targets and pools that the declaration sets for a run.

    Parameters
    ----------
    declaration : Declaration
    request_class : RequestClass
    run : Run

    Returns
    -------
    RunTargets

    Raises
    ------
    RequestFailure
        If no pool serves the model.
    """
    pools = frozenset(
        pool.name
        for pool in declaration.pools.values()
        if _serves_model(pool, run.request.model)
    )
    if not pools:
        raise make_rejection(f"no pool serves model {run.request.model!r}", status=404)
    return RunTargets(
        first_token_s=request_class.first_token_ms / 1000,
        resume_s=request_class.resume_ms / 1000,
        may_wait_s=request_class.may_wait_ms / 1000,
        pools=pools,
    )


def _serves_model(pool: Pool, model: str) -> bool:
    return pool.kind is PoolKind.ENGINE and model in pool.models


def _make_leaving_failure() -> RequestFailure:
    return make_not_run_failure(
        "this instance is leaving; ask for entries and use another",
        step="admit",
        retry_after_s=0.0,
    )
