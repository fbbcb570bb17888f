"""Errors raised by decision logic on bad input."""

from __future__ import annotations


class DecisionError(ValueError):
    """Base class of all errors of this package."""


class MalformedEventId(DecisionError):
    """Raised for an event id that no node can have sent."""


class IllegalTransition(DecisionError):
    """Raised when a life cycle receives an input that its state forbids."""
