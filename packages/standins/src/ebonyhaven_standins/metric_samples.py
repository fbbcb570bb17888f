"""Samples of a scrape of a process."""

from __future__ import annotations

import re

_SAMPLE = re.compile(r"^(\w+)(?:\{([^}]*)\})? ([0-9.e+-]+)$", re.MULTILINE)


class MetricSamples:
    """Samples of a scrape.

    Parameters
    ----------
    text : str
        Prometheus text.
    """

    __slots__ = ("_samples",)

    def __init__(self, text: str):
        self._samples = _SAMPLE.findall(text)

    def sum(self, name: str, label: str = "") -> float:
        """Return the sum of the samples of a name that carry a label.

        Parameters
        ----------
        name : str
        label : str
            Such as ``direction="sent"``.
        """
        return sum(
            float(value)
            for sample, labels, value in self._samples
            if sample == name and label in labels
        )
