"""Checks of a declaration; each error names the path and the value."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, TypeVar

from ebonyhaven_decisions._declarations import (
    DEFAULT_LONGEST_PAUSE_MS,
    DEFAULT_MAY_WAIT_MS,
    DEFAULT_MINIMUM_SERVERS,
    Declaration,
    Model,
    Pool,
    PoolKind,
    RequestClass,
    Workspace,
)

MAX_VALUE_CHARACTERS = 60
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
REQUIRED = object()

T = TypeVar("T")


class DeclarationProblem(NamedTuple):
    """One fault of a declaration.

    Parameters
    ----------
    path : str
        Dotted path of the faulty value; empty for the whole document.
    reason : str
        What was expected and what was found.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'declaration'}: {self.reason}"


class DeclarationError(ValueError):
    """Raised for a declaration that cannot be accepted.

    Parameters
    ----------
    problems : tuple of DeclarationProblem
        All faults found, in the order of the document.
    """

    def __init__(self, problems: tuple[DeclarationProblem, ...]):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def parse_declaration(document: Any) -> Declaration:
    """Check a declaration and return it typed.

    Parameters
    ----------
    document : object
        JSON values as read from the operator's file.

    Returns
    -------
    Declaration

    Raises
    ------
    DeclarationError
        With every fault that was found.
    """
    problems: list[DeclarationProblem] = []
    root = _Section("", document, problems)
    declaration = Declaration(
        classes=root.take_items("classes", _parse_class),
        models=root.take_items("models", _parse_model),
        pools=root.take_items("pools", _parse_pool),
        workspaces=root.take_items("workspaces", _parse_workspace),
    )
    root.refuse_unknown()
    _check_references(declaration, problems)
    if problems:
        raise DeclarationError(tuple(problems))
    return declaration


class _Section:
    """Takes the expected keys out of one JSON object and notes faults."""

    def __init__(self, path: str, document: Any, problems: list[DeclarationProblem]):
        self.path = path
        self._problems = problems
        self._left: dict[str, Any] = {}
        if isinstance(document, Mapping):
            self._left = dict(document)
            self._readable = True
        else:
            self._readable = False
            self.report(path, "an object", document)

    def report(self, path: str, expected: str, value: Any) -> None:
        shown = json.dumps(value)
        if len(shown) > MAX_VALUE_CHARACTERS:
            shown = f"{shown[:MAX_VALUE_CHARACTERS]}…"
        reason = f"expected {expected}, got {shown}"
        self._problems.append(DeclarationProblem(path, reason))

    def join(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def take(
        self, name: str, expected: str, check: Callable[[Any], bool], default: Any
    ) -> Any:
        if name not in self._left:
            if default is REQUIRED and self._readable:
                reason = f"missing, expected {expected}"
                self._problems.append(DeclarationProblem(self.join(name), reason))
            return None if default is REQUIRED else default
        value = self._left.pop(name)
        if check(value):
            return value
        self.report(self.join(name), expected, value)
        return None if default is REQUIRED else default

    def take_number(self, name: str, default: Any = REQUIRED) -> float:
        return self.take(name, "a number above 0", _is_positive, default)

    def take_duration(self, name: str, default: Any = REQUIRED) -> float:
        return self.take(name, "a number of at least 0", _is_duration, default)

    def take_count(self, name: str, default: Any = REQUIRED) -> int:
        return self.take(name, "a whole number of at least 0", _is_count, default)

    def take_flag(self, name: str, default: Any = REQUIRED) -> bool:
        return self.take(name, "true or false", _is_flag, default)

    def take_names(self, name: str, default: Any = REQUIRED) -> tuple[str, ...]:
        names = self.take(name, "a list of distinct names", _is_name_list, default)
        return tuple(names or ())

    def take_items(
        self, name: str, parse: Callable[[str, _Section], T]
    ) -> dict[str, T]:
        if name not in self._left:
            if self._readable:
                reason = "missing, expected an object"
                self._problems.append(DeclarationProblem(self.join(name), reason))
            return {}
        items = _Section(self.join(name), self._left.pop(name), self._problems)
        parsed = {}
        for key, value in items._left.items():
            if not _is_name(key):
                items.report(items.join(key), "a name of 1 to 64 characters", key)
            section = _Section(items.join(key), value, self._problems)
            parsed[key] = parse(key, section)
            section.refuse_unknown()
        return parsed

    def refuse_unknown(self) -> None:
        for name in self._left:
            self._problems.append(DeclarationProblem(self.join(name), "unknown key"))


def _is_duration(value: Any) -> bool:
    return value == 0 and not isinstance(value, bool) or _is_positive(value)


def _is_positive(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 < value < float("inf")


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_flag(value: Any) -> bool:
    return isinstance(value, bool)


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and NAME_PATTERN.fullmatch(value) is not None


def _is_name_list(value: Any) -> bool:
    if not isinstance(value, list) or not all(_is_name(item) for item in value):
        return False
    return len(set(value)) == len(value)


def _is_pool_kind(value: Any) -> bool:
    return value in {"engine", "service"} if isinstance(value, str) else False


def _is_digest(value: Any) -> bool:
    return isinstance(value, str) and DIGEST_PATTERN.fullmatch(value) is not None


def _parse_class(name: str, section: _Section) -> RequestClass:
    return RequestClass(
        name=name,
        first_token_ms=section.take_number("first_token_ms"),
        gap_ms=section.take_number("gap_ms"),
        resume_ms=section.take_number("resume_ms"),
        may_wait_ms=section.take_duration("may_wait_ms", DEFAULT_MAY_WAIT_MS),
        default=section.take_flag("default", False),
    )


def _parse_model(name: str, section: _Section) -> Model:
    return Model(
        name=name,
        adapters=section.take_names("adapters", ()),
        versions=section.take_names("versions", ()),
    )


def _parse_pool(name: str, section: _Section) -> Pool:
    expected = 'one of "engine", "service"'
    kind = section.take("kind", expected, _is_pool_kind, REQUIRED)
    pool = Pool(
        name=name,
        kind=PoolKind(kind or "engine"),
        models=section.take_names("models", ()),
        service=section.take("service", "a name", _is_name_or_empty, ""),
        checks_fence=section.take_flag("checks_fence"),
        longest_pause_ms=section.take_number(
            "longest_pause_ms", DEFAULT_LONGEST_PAUSE_MS
        ),
        minimum_servers=section.take_count("minimum_servers", DEFAULT_MINIMUM_SERVERS),
    )
    if kind == "engine" and not pool.models:
        section.report(section.join("models"), "at least one model", [])
    if kind == "engine" and pool.service:
        section.report(section.join("service"), "no service of engines", pool.service)
    if kind == "service" and not pool.service:
        section.report(section.join("service"), "a name", pool.service)
    if kind == "service" and pool.models:
        section.report(
            section.join("models"), "no models of a service", list(pool.models)
        )
    return pool


def _is_name_or_empty(value: Any) -> bool:
    return value == "" or _is_name(value)


def _parse_workspace(name: str, section: _Section) -> Workspace:
    expected = "64 hex digits"
    digest = section.take("key_sha256", expected, _is_digest_or_empty, "")
    return Workspace(name=name, key_sha256=digest)


def _is_digest_or_empty(value: Any) -> bool:
    return value == "" or _is_digest(value)


def _check_references(
    declaration: Declaration, problems: list[DeclarationProblem]
) -> None:
    defaults = [name for name, item in declaration.classes.items() if item.default]
    for name in defaults[1:]:
        reason = f"expected one default class, {defaults[0]} is one already"
        problems.append(DeclarationProblem(f"classes.{name}.default", reason))
    for pool in declaration.pools.values():
        for model in pool.models:
            if model not in declaration.models:
                path = f"pools.{pool.name}.models"
                problems.append(DeclarationProblem(path, f"no model named {model}"))
