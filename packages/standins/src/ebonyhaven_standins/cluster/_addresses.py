"""Loopback addresses that are unique across concurrent test processes."""

from __future__ import annotations

import itertools
import os
import threading

FIRST_PORT = 10_000
LAST_PORT = 30_000
_HOSTS_PER_PREFIX = 254

_lock = threading.Lock()
_allocation_numbers = itertools.count()


def derive_loopback_prefix(process_id: int) -> str:
    """Return the first three octets of the loopback addresses of a process.

    Parameters
    ----------
    process_id : int
        Process that allocates the addresses.

    Returns
    -------
    str
        ``127.A.B`` with A and B between 1 and 254.
    """
    high, low = divmod(process_id, _HOSTS_PER_PREFIX)
    return f"127.{1 + high % _HOSTS_PER_PREFIX}.{1 + low}"


def allocate_address() -> str:
    """Return a loopback ``IP:PORT`` that this process has not allocated before.

    Successive calls differ in port and host. The hosts of the process are used in
    rotation.

    Returns
    -------
    str
        Address of the form ``127.A.B.C:PORT``.
    """
    with _lock:
        number = next(_allocation_numbers)
    host = 1 + number % _HOSTS_PER_PREFIX
    port = FIRST_PORT + number % (LAST_PORT - FIRST_PORT)
    return f"{derive_loopback_prefix(os.getpid())}.{host}:{port}"
