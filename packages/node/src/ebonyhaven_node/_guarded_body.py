"""Request body that is only written while a condition holds."""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.interfaces import IConsumer
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer


class GuardError(Exception):
    """The condition did not hold when the body was about to be written."""


@implementer(IBodyProducer)
class GuardedBody:
    """Checks a condition once the connection stands, right before writing.

    A request whose body is withheld is incomplete, so the server discards it.

    Parameters
    ----------
    content : bytes
        The body.
    guard : callable
        Returns whether it may be written.
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

    def pauseProducing(self) -> None:  # noqa: N802 the name Twisted calls
        """Do nothing; the body is written at once."""

    def resumeProducing(self) -> None:  # noqa: N802 the same
        """Do nothing; the body is written at once."""

    def stopProducing(self) -> None:  # noqa: N802 the same
        """Do nothing; the body is written at once."""
