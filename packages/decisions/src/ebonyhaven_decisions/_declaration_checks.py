"""Validation of declarations; each problem states the path and the value."""

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
    """One invalid value in a declaration.

    Parameters
    ----------
    path : str
        Dotted path of the invalid value; empty for the whole document.
    reason : str
        The expected value and the actual one.
    """

    path: str
    reason: str

    def __str__(self) -> str:
        return f"{self.path or 'declaration'}: {self.reason}"


class DeclarationError(ValueError):
    """Raised for an invalid declaration.

    Parameters
    ----------
    problems : tuple of DeclarationProblem
        All problems, in the order of the checks.
    """

    def __init__(self, problems: tuple[DeclarationProblem, ...]):
        super().__init__("; ".join(str(problem) for problem in problems))
        self.problems = problems


def parse_declaration(document: Any) -> Declaration:
    """Validate a declaration and convert it to typed objects.

    Parameters
    ----------
    document : object
        The declaration as JSON values.

    Returns
    -------
    Declaration

    Raises
    ------
    DeclarationError
        If the declaration is invalid; lists all problems.
    """
    problems: list[DeclarationProblem] = []
    root = _Section("", document, problems)
    declaration = Declaration(
        classes=root.read_items("classes", _parse_class),
        models=root.read_items("models", _parse_model),
        pools=root.read_items("pools", _parse_pool),
        workspaces=root.read_items("workspaces", _parse_workspace),
    )
    root.report_unknown_keys()
    _check_references(declaration, problems)
    if problems:
        raise DeclarationError(tuple(problems))
    return declaration


class _Section:
    """Reads the expected keys of one JSON object and records problems."""

    def __init__(self, path: str, document: Any, problems: list[DeclarationProblem]):
        self.path = path
        self._problems = problems
        self._unread: dict[str, Any] = {}
        if isinstance(document, Mapping):
            self._unread = dict(document)
            self._is_object = True
        else:
            self._is_object = False
            self.add_problem(path, "an object", document)

    def add_problem(self, path: str, expected: str, value: Any) -> None:
        shown = json.dumps(value)
        if len(shown) > MAX_VALUE_CHARACTERS:
            shown = f"{shown[:MAX_VALUE_CHARACTERS]}…"
        reason = f"expected {expected}, got {shown}"
        self._problems.append(DeclarationProblem(path, reason))

    def join_path(self, name: str) -> str:
        return f"{self.path}.{name}" if self.path else name

    def read(
        self, name: str, expected: str, check: Callable[[Any], bool], default: Any
    ) -> Any:
        if name not in self._unread:
            if default is REQUIRED and self._is_object:
                reason = f"missing, expected {expected}"
                self._problems.append(DeclarationProblem(self.join_path(name), reason))
            return None if default is REQUIRED else default
        value = self._unread.pop(name)
        if check(value):
            return value
        self.add_problem(self.join_path(name), expected, value)
        return None if default is REQUIRED else default

    def read_positive_number(self, name: str, default: Any = REQUIRED) -> float:
        return self.read(name, "a number above 0", _is_positive_number, default)

    def read_nonnegative_number(self, name: str, default: Any = REQUIRED) -> float:
        return self.read(
            name, "a number of at least 0", _is_nonnegative_number, default
        )

    def read_count(self, name: str, default: Any = REQUIRED) -> int:
        return self.read(name, "a whole number of at least 0", _is_count, default)

    def read_boolean(self, name: str, default: Any = REQUIRED) -> bool:
        return self.read(name, "true or false", _is_boolean, default)

    def read_names(self, name: str, default: Any = REQUIRED) -> tuple[str, ...]:
        names = self.read(name, "a list of distinct names", _is_name_list, default)
        return tuple(names or ())

    def read_items(
        self, name: str, parse: Callable[[str, _Section], T]
    ) -> dict[str, T]:
        if name not in self._unread:
            if self._is_object:
                reason = "missing, expected an object"
                self._problems.append(DeclarationProblem(self.join_path(name), reason))
            return {}
        items = _Section(self.join_path(name), self._unread.pop(name), self._problems)
        parsed = {}
        for key, value in items._unread.items():
            if not _is_name(key):
                items.add_problem(
                    items.join_path(key), "a name of 1 to 64 characters", key
                )
            section = _Section(items.join_path(key), value, self._problems)
            parsed[key] = parse(key, section)
            section.report_unknown_keys()
        return parsed

    def report_unknown_keys(self) -> None:
        for name in self._unread:
            self._problems.append(
                DeclarationProblem(self.join_path(name), "unknown key")
            )


def _is_nonnegative_number(value: Any) -> bool:
    return value == 0 and not isinstance(value, bool) or _is_positive_number(value)


def _is_positive_number(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 < value < float("inf")


def _is_count(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _is_boolean(value: Any) -> bool:
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
        first_token_ms=section.read_positive_number("first_token_ms"),
        gap_ms=section.read_positive_number("gap_ms"),
        resume_ms=section.read_positive_number("resume_ms"),
        may_wait_ms=section.read_nonnegative_number("may_wait_ms", DEFAULT_MAY_WAIT_MS),
        default=section.read_boolean("default", False),
    )


def _parse_model(name: str, section: _Section) -> Model:
    return Model(
        name=name,
        adapters=section.read_names("adapters", ()),
        versions=section.read_names("versions", ()),
    )


def _parse_pool(name: str, section: _Section) -> Pool:
    expected = 'one of "engine", "service"'
    kind = section.read("kind", expected, _is_pool_kind, REQUIRED)
    pool = Pool(
        name=name,
        kind=PoolKind(kind or "engine"),
        models=section.read_names("models", ()),
        service=section.read("service", "a name", _is_name_or_empty, ""),
        checks_fence=section.read_boolean("checks_fence"),
        longest_pause_ms=section.read_positive_number(
            "longest_pause_ms", DEFAULT_LONGEST_PAUSE_MS
        ),
        minimum_servers=section.read_count("minimum_servers", DEFAULT_MINIMUM_SERVERS),
    )
    if kind == "engine" and not pool.models:
        section.add_problem(section.join_path("models"), "at least one model", [])
    if kind == "engine" and pool.service:
        section.add_problem(
            section.join_path("service"),
            "no service in a pool of engines",
            pool.service,
        )
    if kind == "service" and not pool.service:
        section.add_problem(section.join_path("service"), "a name", pool.service)
    if kind == "service" and pool.models:
        section.add_problem(
            section.join_path("models"),
            "no models in a pool of a service",
            list(pool.models),
        )
    return pool


def _is_name_or_empty(value: Any) -> bool:
    return value == "" or _is_name(value)


def _parse_workspace(name: str, section: _Section) -> Workspace:
    expected = "64 hex digits"
    digest = section.read("key_sha256", expected, _is_digest_or_empty, "")
    return Workspace(name=name, key_sha256=digest)


def _is_digest_or_empty(value: Any) -> bool:
    return value == "" or _is_digest(value)


def _check_references(
    declaration: Declaration, problems: list[DeclarationProblem]
) -> None:
    defaults = [name for name, item in declaration.classes.items() if item.default]
    for name in defaults[1:]:
        reason = f"expected one default class, {defaults[0]} is already the default"
        problems.append(DeclarationProblem(f"classes.{name}.default", reason))
    for pool in declaration.pools.values():
        for model in pool.models:
            if model not in declaration.models:
                path = f"pools.{pool.name}.models"
                problems.append(DeclarationProblem(path, f"no model named {model}"))
