"""Sets of instances that a measurement starts and steers."""

from __future__ import annotations

import abc
import contextlib
import time
import urllib.request
from types import TracebackType
from typing import Self

from ebonyhaven_standins.cluster import ChildProcess, Cluster
from ebonyhaven_standins.control_node_processes import (
    DATA_CENTRE_COUNT,
    ControlNodeProcesses,
)
from ebonyhaven_standins.metric_samples import MetricSamples

CALL_TIMEOUT_S = 40.0
AGREE_DEADLINE_S = 60.0
AGREE_POLL_S = 0.2


class NodeSet(abc.ABC):
    """Instances of one deployment, by name; a context manager.

    Parameters
    ----------
    count : int
        They are named ``n0``, ``n1`` and so on.
    """

    def __init__(self, count: int):
        self.names = [f"n{index}" for index in range(count)]
        self._stack = contextlib.ExitStack()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._stack.close()

    @abc.abstractmethod
    def restart(self, name: str) -> None:
        """Start an instance that has ended, and wait until it is ready."""

    @abc.abstractmethod
    def child(self, name: str) -> ChildProcess:
        """Return the process of an instance."""

    @abc.abstractmethod
    def caller_address(self, name: str) -> str:
        """Return the ``IP:PORT`` at which an instance answers HTTP."""

    def read_metrics(self, name: str) -> MetricSamples:
        """Return a scrape of an instance.

        Parameters
        ----------
        name : str
        """
        url = f"http://{self.caller_address(name)}/metrics"
        with urllib.request.urlopen(url, timeout=CALL_TIMEOUT_S) as answer:
            return MetricSamples(answer.read().decode())

    def count_live(self, name: str) -> int:
        """Return how many instances one of them regards as live.

        Parameters
        ----------
        name : str
        """
        samples = self.read_metrics(name)
        return int(samples.sum("ebonyhaven_members", 'state="live"'))

    def wait_for_agreement(self) -> None:
        """Block until each instance regards all as live.

        Raises
        ------
        TimeoutError
            If that takes longer than ``AGREE_DEADLINE_S``.
        """
        deadline = time.monotonic() + AGREE_DEADLINE_S
        count = len(self.names)
        while any(self.count_live(name) != count for name in self.names):
            if time.monotonic() > deadline:
                raise TimeoutError("the instances do not agree")
            time.sleep(AGREE_POLL_S)


class ControlNodeSet(NodeSet):
    """Processes with the control part alone.

    Parameters
    ----------
    count : int
    loss : float
        Share of their messages that they drop.
    """

    def __init__(self, count: int, *, loss: float = 0.0):
        super().__init__(count)
        self._nodes = self._stack.enter_context(ControlNodeProcesses(count, loss=loss))

    def restart(self, name: str) -> None:
        """See `NodeSet.restart`."""
        self._nodes.start(name, wait=True)

    def child(self, name: str) -> ChildProcess:
        """See `NodeSet.child`."""
        return self._nodes.child(name)

    def caller_address(self, name: str) -> str:
        """See `NodeSet.caller_address`."""
        return self._nodes.caller_addresses[name]


class FullNodeSet(NodeSet):
    """Whole nodes beside a platform.

    Parameters
    ----------
    count : int
    loss : float
        Share of their messages to each other that they drop.
    """

    def __init__(self, count: int, *, loss: float = 0.0):
        super().__init__(count)
        self._loss = loss
        self._cluster = self._stack.enter_context(Cluster())
        self._cluster.start_platform()
        for name in self.names:
            self._start(name, wait=False)
        self._cluster.wait_until_ready()

    def restart(self, name: str) -> None:
        """See `NodeSet.restart`."""
        self._start(name, wait=True)

    def child(self, name: str) -> ChildProcess:
        """See `NodeSet.child`."""
        return self._cluster.child(name)

    def caller_address(self, name: str) -> str:
        """See `NodeSet.caller_address`."""
        return self._cluster.addresses[name]

    def _start(self, name: str, *, wait: bool) -> None:
        self._cluster.start_node(
            name,
            data_centre=f"dc-{self.names.index(name) % DATA_CENTRE_COUNT}",
            wait=wait,
            control_loss=self._loss,
        )
