"""Digests of the prefixes of prompts."""

from __future__ import annotations

import hashlib

from ebonyhaven_node._requests import CHARACTERS_PER_TOKEN, GenerationRequest

PREFIX_BLOCK_CHARACTERS = 64
MAX_PREFIXES = 10


def hash_prefixes(
    request: GenerationRequest,
) -> tuple[tuple[str, ...], tuple[int, ...]]:
    """Return digests of prefixes of the prompt whose length doubles each time.

    Parameters
    ----------
    request : GenerationRequest

    Returns
    -------
    tuple of tuples
        Digests in the form that engines report, and the token count of each prefix.
    """
    digests: list[str] = []
    tokens: list[int] = []
    hashed = hashlib.sha256()
    hashed_length = 0
    for power in range(MAX_PREFIXES):
        length = PREFIX_BLOCK_CHARACTERS << power
        if length > len(request.prompt):
            break
        hashed.update(request.prompt[hashed_length:length].encode())
        hashed_length = length
        digests.append(hashed.hexdigest()[:16])
        tokens.append(length // CHARACTERS_PER_TOKEN)
    return tuple(digests), tuple(tokens)
