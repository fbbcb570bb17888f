"""Tests of names whose modules are imported when they are first used."""

from __future__ import annotations

import ebonyhaven_decisions
import ebonyhaven_decisions.forwarding


def test_every_name_of_the_package_is_provided_by_a_module():
    assert len(set(ebonyhaven_decisions.__all__)) == len(ebonyhaven_decisions.__all__)
    for name in ebonyhaven_decisions.__all__:
        value = getattr(ebonyhaven_decisions, name)
        assert vars(ebonyhaven_decisions)[name] is value
        assert name in dir(ebonyhaven_decisions)


def test_unknown_name_is_reported_like_that_of_any_module():
    try:
        ebonyhaven_decisions.missing  # noqa: B018
    except AttributeError as error:
        reported = str(error)
    ordinary = "module 'ebonyhaven_decisions.forwarding' has no attribute 'missing'"
    assert reported == ordinary.replace(".forwarding", "")
    assert not hasattr(ebonyhaven_decisions.forwarding, "missing")
