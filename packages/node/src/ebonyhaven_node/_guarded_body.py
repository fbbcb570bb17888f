"""Request body that is written only if a condition holds."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


class GuardError(Exception):
    """Raised when the condition did not hold before the body was written."""


@implementer(IBodyProducer)
class GuardedBody:
    """Checks a condition after the connection is established, before writing.

    A request without its body is incomplete, so the server discards it.

    Parameters
    ----------
    content : bytes
        The body.
    guard : callable
        Returns whether the body may be written.
    """

    def __init__(self, content: bytes, guard: Callable[[], bool]):
        self.length = len(content)
        self._content = content
        self._guard = guard

    def startProducing(self, consumer: IConsumer) -> Deferred[None]:  # noqa: N802
        """Write the body, or fail with `GuardError`."""
        if not self._guard():
            return fail(GuardError())
        consumer.write(self._content)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Do nothing; the body is written in a single call."""

    def resumeProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Do nothing; the body is written in a single call."""

    def stopProducing(self) -> None:  # noqa: N802 name given by Twisted
        """Do nothing; the body is written in a single call."""
