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
def test_only_an_answer_of_the_other_side_is_a_refusal(problem, refused):
    assert _is_refused(problem) is refused
