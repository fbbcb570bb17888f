"""Exceptions raised by the decision logic for invalid input."""

from __future__ import annotations


class DecisionError(ValueError):
    """Base class of the exceptions in this module."""


class MalformedEventId(DecisionError):
    """Raised for text that is no valid event id."""


class IllegalTransition(DecisionError):
    """Raised when a state machine receives an input that its state does not allow."""


class MalformedDocument(DecisionError):
    """Raised for a document of another process that can't be used.

    Parameters
    ----------
    reason : str
    """
