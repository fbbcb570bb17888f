"""Rendezvous hashing: choices that all instances with the same view agree on."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8


def compute_weight(key: str, name: str) -> bytes:
    """Return the weight of a name for a key; the greatest ones are chosen.

    Parameters
    ----------
    key, name : str
    """
    text = f"{key} {name}".encode()
    return hashlib.blake2b(text, digest_size=WEIGHT_BYTES).digest()


def choose_instances(key: str, instances: Iterable[str], count: int) -> list[str]:
    """Return the instances for a key, the preferred one first.

    Parameters
    ----------
    key : str
    instances : iterable of str
        Names of the instances to choose from.
    count : int
        Greatest number of instances to return.

    Returns
    -------
    list of str
    """
    ordered = sorted(
        instances, key=lambda name: compute_weight(key, name), reverse=True
    )
    return ordered[:count]
