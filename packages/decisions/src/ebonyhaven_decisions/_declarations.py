"""What operators declare: classes, models, pools and workspaces."""

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
    """What the backend servers of a pool are."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen(slots=True, kw_only=True)
class RequestClass:
    """A class of work with its targets.

    Parameters
    ----------
    name : str
        Name of the class.
    first_token_ms : float
        Target for the time to the first token, in milliseconds.
    gap_ms : float
        Target for the time between two tokens, in milliseconds.
    resume_ms : float
        Target for resume latency, in milliseconds.
    may_wait_ms : float
        Longest time that a request may be queued, in milliseconds.
    default : bool
        Whether requests that name no class belong to this one.
    """

    name: str
    first_token_ms: float
    gap_ms: float
    resume_ms: float
    may_wait_ms: float = DEFAULT_MAY_WAIT_MS
    default: bool = False


@attrs.frozen(slots=True, kw_only=True)
class Model:
    """A model with its adapters and versions, by name."""

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
        Engines or plain services.
    models : tuple of str
        Models that engines of the pool may hold.
    service : str
        Name of the plain service; empty for engines.
    checks_fence : bool
        Whether the backend servers refuse orders with an old fencing number.
    longest_pause_ms : float
        Longest pause of a lease holder that a takeover waits out where the
        servers ignore fencing numbers, in milliseconds.
    minimum_servers : int
        Servers that must hold each model in each data centre of the pool.
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
    """A workspace; ``key_sha256`` is the hex digest of its key, or empty."""

    name: str
    key_sha256: str = ""


@attrs.frozen(slots=True, kw_only=True)
class Declaration:
    """Everything that operators state, by name."""

    classes: Mapping[str, RequestClass]
    models: Mapping[str, Model]
    pools: Mapping[str, Pool]
    workspaces: Mapping[str, Workspace]

    @property
    def default_class(self) -> RequestClass | None:
        """Class of requests that name none, if one is marked."""
        for item in self.classes.values():
            if item.default:
                return item
        return None

    def serialize(self) -> dict[str, Any]:
        """Return the declaration as JSON values, with all defaults filled in."""
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
        JSON values; None where the path is absent.
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
    """Return the differences between two declarations, by path.

    Parameters
    ----------
    before, after : Declaration
        The declarations to compare; defaults that are left out and the same
        values written out are equal.
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
