"""Declarations of operators: classes, models, pools and workspaces."""

from __future__ import annotations

import enum
import json
from collections.abc import Mapping
from typing import Any, NamedTuple

import attrs

DEFAULT_MAY_WAIT_MS = 0.0
DEFAULT_LONGEST_PAUSE_MS = 60_000.0
DEFAULT_MINIMUM_SERVERS = 1


class PoolKind(enum.StrEnum):
    """Kind of the backend servers in a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(slots=True, kw_only=True)
class RequestClass:
    """A class of requests and its latency targets.

    Parameters
    ----------
    name : str
        Name of the class.
    first_token_ms : float
        Target for the time to the first token, in milliseconds.
    gap_ms : float
        Target for the time between two tokens, in milliseconds.
    resume_ms : float
        Target for the time from the loss of the backend server of a stream until the
        first token from another one, in milliseconds.
    may_wait_ms : float
        Longest time that a request may be queued, in milliseconds.
    default : bool
        Whether requests without a class belong to this one.
    """

    name: str
    first_token_ms: float
    gap_ms: float
    resume_ms: float
    may_wait_ms: float = DEFAULT_MAY_WAIT_MS
    default: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Model:
    """A model and the names of its adapters and versions."""

    name: str
    adapters: tuple[str, ...] = ()
    versions: tuple[str, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class Pool:
    """A pool of backend servers.

    Parameters
    ----------
    name : str
        Name of the pool.
    kind : PoolKind
        Whether the servers are model engines or plain services.
    models : tuple of str
        Names of the models that the engines of the pool may load.
    service : str
        Name of the plain service; empty for engines.
    checks_fence : bool
        Whether the backend servers reject orders with a stale fencing number.
    longest_pause_ms : float
        Longest pause of a lease holder, in milliseconds. If the servers ignore
        fencing numbers, a new holder waits this long before its first order.
    minimum_servers : int
        Minimum number of servers with each model loaded, in each data centre of the
        pool.
    """

    name: str
    kind: PoolKind
    models: tuple[str, ...] = ()
    service: str = ""
    checks_fence: bool = False
    longest_pause_ms: float = DEFAULT_LONGEST_PAUSE_MS
    minimum_servers: int = DEFAULT_MINIMUM_SERVERS


@attrs.frozen(slots=True, kw_only=True)
class Workspace:
    """A workspace.

    Parameters
    ----------
    name : str
        Name of the workspace.
    key_sha256 : str
        Hexadecimal SHA-256 digest of the workspace key; empty if it has no key.
    """

    name: str
    key_sha256: str = ""


@attrs.frozen(slots=True, kw_only=True)
class Declaration:
    """Complete declaration of an operator; each mapping is keyed by name."""

    classes: Mapping[str, RequestClass]
    models: Mapping[str, Model]
    pools: Mapping[str, Pool]
    workspaces: Mapping[str, Workspace]

    @property
    def default_class(self) -> RequestClass | None:
        """Class of requests that specify none; None if there is no default."""
        for item in self.classes.values():
            if item.default:
                return item
        return None

    def serialize(self) -> dict[str, Any]:
        """Return the declaration as JSON values, including all defaults."""
        return {
            "classes": _serialize_items(self.classes),
            "models": _serialize_items(self.models),
            "pools": _serialize_items(self.pools),
            "workspaces": _serialize_items(self.workspaces),
        }


class DeclarationChange(NamedTuple):
    """One value that differs between two declarations.

    Parameters
    ----------
    path : str
        Dotted path of the value.
    before, after : object
        JSON values; None if the path is absent.
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {json.dumps(self.after)}"
        if self.after is None:
            return f"- {self.path}: {json.dumps(self.before)}"
        return f"~ {self.path}: {json.dumps(self.before)} -> {json.dumps(self.after)}"


def diff(before: Declaration, after: Declaration) -> tuple[DeclarationChange, ...]:
    """Return the differences between two declarations, sorted by path.

    Parameters
    ----------
    before, after : Declaration
        The declarations to compare. An omitted value equals its explicit default.
    """
    return tuple(_diff_values("", before.serialize(), after.serialize()))


def _serialize_items(items: Mapping[str, Any]) -> dict[str, Any]:
    return {name: _serialize_item(items[name]) for name in sorted(items)}


def _serialize_item(item: Any) -> dict[str, Any]:
    fields = attrs.asdict(item, filter=lambda field, _: field.name != "name")
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in fields.items()
    }


def _diff_values(path: str, before: Any, after: Any) -> list[DeclarationChange]:
    if before == after:
        return []
    if not (isinstance(before, dict) and isinstance(after, dict)):
        return [DeclarationChange(path, before, after)]
    changes = []
    for name in sorted(before.keys() | after.keys()):
        child = f"{path}.{name}" if path else name
        changes += _diff_values(child, before.get(name), after.get(name))
    return changes
