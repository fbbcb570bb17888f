"""Loopback addresses that parallel runs do not share."""

from __future__ import annotations

import itertools
import os
import threading

FIRST_PORT = 10_000
LAST_PORT = 30_000
_HOSTS_A_BLOCK = 254

_lock = threading.Lock()
_numbers = itertools.count()


def derive_loopback_prefix(process_id: int) -> str:
    """Return the first three octets of the loopback block of a process.

    Parameters
    ----------
    process_id : int
        Identifier of the process that owns the block.

    Returns
    -------
    str
        ``127.A.B`` with A and B between 1 and 254.
    """
    high, low = divmod(process_id, _HOSTS_A_BLOCK)
    return f"127.{1 + high % _HOSTS_A_BLOCK}.{1 + low}"


def allocate_address() -> str:
    """Return a loopback ``IP:PORT`` that this process has not handed out.

    Each call gives another port, and hosts take turns within the block of this
    process, so that neighbouring calls differ in both.

    Returns
    -------
    str
        Address of the form ``127.A.B.C:PORT``.
    """
    with _lock:
        number = next(_numbers)
    host = 1 + number % _HOSTS_A_BLOCK
    port = FIRST_PORT + number % (LAST_PORT - FIRST_PORT)
    return f"{derive_loopback_prefix(os.getpid())}.{host}:{port}"
