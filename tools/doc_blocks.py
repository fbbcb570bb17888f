"""Extracts fenced code blocks from documentation pages, for tests that run them."""

from __future__ import annotations

import pathlib
import re
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
_BLOCK_PATTERN = re.compile(
    r"(?:`(?P<name>[^`\n]+)`:\n\n)?^```(?P<language>\w+)\n(?P<text>.*?)^```$",
    re.MULTILINE | re.DOTALL,
)


class Block(NamedTuple):
    """One fenced code block.

    Parameters
    ----------
    language : str
        Info string of the fence.
    name : str
        File name in the line above the block, empty if there is none.
    text : str
        Content of the block.
    """

    language: str
    name: str
    text: str


def read_blocks(page: str) -> list[Block]:
    """Return the fenced code blocks of a page that have a language.

    Parameters
    ----------
    page : str
        Path of the page, relative to the root of the checkout.

    Returns
    -------
    list of Block
    """
    text = (ROOT / page).read_text()
    return [
        Block(match["language"], match["name"] or "", match["text"])
        for match in _BLOCK_PATTERN.finditer(text)
    ]
