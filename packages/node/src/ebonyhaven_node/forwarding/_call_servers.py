"""Servers of a request with a single response, and plans of its attempts."""

from __future__ import annotations

from ebonyhaven_decisions.forwarding import (
    Backend,
    Route,
    choose_backend,
    compute_mean_use,
    compute_patience_s,
)

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding._requests import AttemptPlan, ForwardRequest

# Share of the request's timeout spent waiting for a usable server.
SERVER_WAIT_TIMEOUT_SHARE = 0.3
MIN_WAIT_S = 0.005  # bounds the wake-ups of a request that waits for a server


class CallServerSelector:
    """Chooses the servers of the attempts at one request.

    Parameters
    ----------
    request : ForwardRequest
    route : Route
    service : str
    workspace : str or None
    context : RelayContext

    Attributes
    ----------
    caller_deadline : float
        Seconds; when the caller no longer waits.
    wait_deadline : float
        Seconds; to which the request waits for a server that takes it.
    target_deadline : float
        Seconds; to which an answer is on time.
    """

    def __init__(
        self,
        *,
        request: ForwardRequest,
        route: Route,
        service: str,
        workspace: str | None,
        context: RelayContext,
    ):
        self._request = request
        self._route = route
        self._service = service
        self._workspace = workspace
        self._context = context
        timeout_s = request.limit_timeout(route.timeout_s)
        self.caller_deadline = request.arrived_at + timeout_s
        self.wait_deadline = request.arrived_at + SERVER_WAIT_TIMEOUT_SHARE * timeout_s
        self.target_deadline = request.arrived_at + (
            route.target_latency_s or SERVER_WAIT_TIMEOUT_SHARE * timeout_s
        )
        self._times = context.state.get_service_times(service)
        self._excluded_servers: set[tuple[str, int]] = set()
        self._tried_servers: set[tuple[str, int]] = set()

    def choose(self, now: float) -> Backend | None:
        """Return the server of the next attempt, if any may be sent a request.

        A server that was excluded, or has the request already, is chosen again if
        there is no other one.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        Backend or None
        """
        directory = self._context.state.backends
        usable = (
            directory.list_usable(self._service, now, self._excluded_servers)
            or directory.list_ready(self._service, now, self._excluded_servers)
            or directory.list_usable(self._service, now)
        )
        usable = [
            each for each in usable if each.key not in self._tried_servers
        ] or usable
        due = directory.rollouts.list_due(usable)
        return choose_backend(
            directory.data_centres.avoid_suspect_data_centres(due, now),
            data_centre=self._context.data_centre,
            now=now,
            rng=self._context.rng,
            times=self._times,
        )

    def make_plan(self, backend: Backend, now: float) -> AttemptPlan:
        """Return what an attempt at a server has to keep to.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.

        Returns
        -------
        AttemptPlan
        """
        self._tried_servers.add(backend.key)
        remaining_s = self.caller_deadline - now
        delay_factor = self._times.estimate_delay_factor(backend.load, now)
        return AttemptPlan(
            remaining_s=remaining_s,
            workspace=self._workspace,
            patience_s=compute_patience_s(
                target_latency_s=self._route.target_latency_s,
                latency_s=backend.latency_s * delay_factor,
                timeout_s=remaining_s,
            ),
        )

    def record_answer(self, backend: Backend, latency_s: float) -> None:
        """Learn from the time that an answer took.

        Parameters
        ----------
        backend : Backend
        latency_s : float
            Seconds from sending the request to the complete response.
        """
        self._times.record_answer(
            backend.load, route=self._route.name, latency_s=latency_s
        )
        if backend.load.is_known:
            self._observe_evenness(backend)

    def _observe_evenness(self, backend: Backend) -> None:
        """Observe how far the load of a server is from the mean of its service."""
        servers = [
            each
            for each in self._context.state.backends
            if each.entry.service == self._service and not each.is_leaving
        ]
        if len(servers) > 1:
            deviation = backend.load.requests_per_slot - compute_mean_use(servers)
            self._context.metrics.load_deviation.observe(deviation)

    def exclude(self, backend: Backend) -> None:
        """Leave out a process as long as there is another one.

        Parameters
        ----------
        backend : Backend
        """
        self._excluded_servers.add(backend.key)

    def ask_for_permit(self) -> None:
        """Ask for leave to send the request to a brittle server."""
        self._context.permits.ask(
            self._service, self._request.request_id, self._excluded_servers
        )

    def find_next_choice(self, now: float) -> float:
        """Return when a waiting request looks for a server again, if nothing changes.

        Parameters
        ----------
        now : float
            Seconds.

        Returns
        -------
        float
            Seconds.
        """
        rest_end = self._context.state.backends.find_rest_end(self._service, now)
        next_at = min(self.wait_deadline, rest_end)
        return max(next_at, now + MIN_WAIT_S)

    def has_only_silent(self) -> bool:
        """Return whether no server answers, perhaps only this instance."""
        now = self._context.clock()
        return self._context.state.backends.has_only_silent(self._service, now)
