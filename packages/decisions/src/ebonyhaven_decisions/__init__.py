"""Decision logic of ebonyhaven, free of input and output.

Clocks and random sources are passed in as arguments, so each decision can be
read, tested and measured alone.
"""

from __future__ import annotations

from ebonyhaven_decisions._outcomes import Outcome, OutcomeTag, RequestFailure

__all__ = ["Outcome", "OutcomeTag", "RequestFailure"]
