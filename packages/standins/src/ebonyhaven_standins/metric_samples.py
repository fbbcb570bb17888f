"""Samples of a Prometheus scrape."""

from __future__ import annotations

import re

_SAMPLE_PATTERN = re.compile(r"^(\w+)(?:\{([^}]*)\})? ([0-9.e+-]+)$", re.MULTILINE)


class MetricSamples:
    """Samples parsed from the Prometheus text format.

    Parameters
    ----------
    text : str
        Body of the scrape.
    """

    __slots__ = ("_samples",)

    def __init__(self, text: str):
        self._samples = _SAMPLE_PATTERN.findall(text)

    def sum(self, name: str, label: str = "") -> float:
        """Return the sum of the samples of a metric that have a label.

        Parameters
        ----------
        name : str
        label : str
            Label pair such as ``direction="sent"``; all samples if empty.
        """
        return sum(
            float(value)
            for sample, labels, value in self._samples
            if sample == name and label in labels
        )
