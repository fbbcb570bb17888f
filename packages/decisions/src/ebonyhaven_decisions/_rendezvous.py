"""Rendezvous hashing: choices that all instances with the same view agree on."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8
MAX_KEPT_CHOICES = 64  # few keys are asked for, each many times between changes


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
    return list(_choose(key, tuple(instances), count))


@functools.lru_cache(maxsize=MAX_KEPT_CHOICES)
def _choose(key: str, instances: tuple[str, ...], count: int) -> tuple[str, ...]:
    ordered = sorted(
        instances, key=lambda name: compute_weight(key, name), reverse=True
    )
    return tuple(ordered[:count])
