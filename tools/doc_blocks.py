"""Fenced blocks of the pages, for the tests that run them."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
_BLOCK = re.compile(
    r"(?:`(?P<name>[^`\n]+)`:\n\n)?^```(?P<language>\w+)\n(?P<text>.*?)^```$",
    re.MULTILINE | re.DOTALL,
)


class Block(NamedTuple):
    """One fenced block; ``name`` is the file name in the line before it."""

    language: str
    name: str
    text: str


def read_blocks(page: str) -> list[Block]:
    """Return the fenced blocks of a page that name a language.

    Parameters
    ----------
    page : str
        Path of the page from the root of the checkout.

    Returns
    -------
    list of Block
    """
    text = (ROOT / page).read_text()
    return [
        Block(found["language"], found["name"] or "", found["text"])
        for found in _BLOCK.finditer(text)
    ]
