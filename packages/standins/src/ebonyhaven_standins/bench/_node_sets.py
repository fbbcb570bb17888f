"""Sets of node processes that measurements start, kill and restart."""

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

METRICS_TIMEOUT_S = 40.0
CONVERGENCE_TIMEOUT_S = 60.0
CONVERGENCE_POLL_INTERVAL_S = 0.2


class NodeSet(abc.ABC):
    """Instances of one deployment; a context manager that stops them on exit.

    Parameters
    ----------
    count : int
        Number of instances; they are named ``n0``, ``n1`` and so on.
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
        """Start an instance that has exited, and wait until it is ready."""

    @abc.abstractmethod
    def child(self, name: str) -> ChildProcess:
        """Return the process of an instance."""

    @abc.abstractmethod
    def caller_address(self, name: str) -> str:
        """Return the ``IP:PORT`` at which an instance answers HTTP."""

    def read_metrics(self, name: str) -> MetricSamples:
        """Return the current metrics of an instance.

        Parameters
        ----------
        name : str
        """
        url = f"http://{self.caller_address(name)}/metrics"
        with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_S) as answer:
            return MetricSamples(answer.read().decode())

    def count_live(self, name: str) -> int:
        """Return how many instances an instance regards as live, including itself.

        Parameters
        ----------
        name : str
        """
        samples = self.read_metrics(name)
        return int(samples.sum("ebonyhaven_members", 'state="live"'))

    def wait_for_convergence(self) -> None:
        """Block until each instance regards all instances as live.

        Raises
        ------
        TimeoutError
            After `CONVERGENCE_TIMEOUT_S`.
        """
        deadline = time.monotonic() + CONVERGENCE_TIMEOUT_S
        count = len(self.names)
        while any(self.count_live(name) != count for name in self.names):
            if time.monotonic() > deadline:
                raise TimeoutError("the instances do not regard each other as live")
            time.sleep(CONVERGENCE_POLL_INTERVAL_S)


class ControlNodeSet(NodeSet):
    """Processes that run only the control plane of a node.

    Parameters
    ----------
    count : int
    loss : float
        Share of the control messages that each instance drops.
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
    """Complete node processes with a platform stand-in.

    Parameters
    ----------
    count : int
    loss : float
        Share of the control messages that each instance drops.
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
