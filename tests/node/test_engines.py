from __future__ import annotations

import errno

from ebonyhaven_node._engines import _is_refused
from nose2.tools import params
from twisted.internet import error


@params(
    (error.ConnectionRefusedError(), True),
    (error.ConnectError(errno.ECONNRESET, "reset"), True),
    (error.ConnectError(errno.EHOSTUNREACH, "no route"), False),
    (error.TimeoutError(), False),
)
def test_only_refused_or_reset_connections_are_refusals(exc, refused):
    assert _is_refused(exc) is refused
