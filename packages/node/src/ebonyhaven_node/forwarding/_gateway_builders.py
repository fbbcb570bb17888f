"""What a deployment builds for its gateway."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from ebonyhaven_node.forwarding._connection_pool import ConnectionPool
from ebonyhaven_node.forwarding._state import ForwardingState
from ebonyhaven_node.forwarding.interfaces import (
    BackendDialect,
    CallerDialect,
    LossRecordStore,
    RolloutRecordStore,
    RunCopier,
    ServerInspector,
    StateSource,
    StreamRecordStore,
    VersionRecordStore,
)


class GatewayBuilders(NamedTuple):
    """A deployment's wire protocols, and what it builds for a pool of connections.

    Parameters
    ----------
    caller_dialect : CallerDialect
    backend_dialect : BackendDialect
    build_source : callable
        Returns the `StateSource` for a `ForwardingState` and a `ConnectionPool`.
    build_inspector : callable
        Returns the `ServerInspector` for a `ConnectionPool`; the others likewise.
    build_copier, build_record_store, build_loss_store, build_version_store : callable
    build_rollout_store : callable or None
        Without it, and without limits on exposure in the settings, there are no
        roll-outs.
    """

    caller_dialect: CallerDialect
    backend_dialect: BackendDialect
    build_source: Callable[[ForwardingState, ConnectionPool], StateSource]
    build_inspector: Callable[[ConnectionPool], ServerInspector]
    build_copier: Callable[[ConnectionPool], RunCopier]
    build_record_store: Callable[[ConnectionPool], StreamRecordStore]
    build_loss_store: Callable[[ConnectionPool], LossRecordStore]
    build_version_store: Callable[[ConnectionPool], VersionRecordStore]
    build_rollout_store: Callable[[ConnectionPool], RolloutRecordStore] | None = None
