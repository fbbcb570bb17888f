"""Metrics of the forwarding path."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

LATENCY_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.5, 10.0, 25.0)
PAUSE_BUCKETS_S = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 2.0, 5.0)
LOAD_DEVIATION_BUCKETS = (-1.0, -0.5, -0.25, -0.1, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0)


class ForwardingMetrics:
    """Metrics of requests, attempts and resumes.

    Label values are kinds and outcomes, never names of callers, routes or servers, so
    that the number of time series doesn't grow with the deployment.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, registry: CollectorRegistry):
        self.registry = registry
        self.requests = Counter(
            "ebonyhaven_forwarded_requests",
            "Requests by kind, outcome and the step that decided it.",
            ["kind", "outcome", "step"],
            registry=registry,
        )
        self.attempts = Counter(
            "ebonyhaven_forward_attempts",
            "Attempts at backend servers by their end.",
            ["kind", "end"],
            registry=registry,
        )
        self.response_ends = Counter(
            "ebonyhaven_response_ends",
            "Responses that ended, by what marked the end and whether inside an event.",
            ["kind", "mark", "position"],
            registry=registry,
        )
        self.incomplete = Counter(
            "ebonyhaven_incomplete_responses",
            "Responses that were begun and ended before they were complete, by reason.",
            ["kind", "reason"],
            registry=registry,
        )
        self.resumes = Counter(
            "ebonyhaven_stream_resumes",
            "Streams that went on, here or by callers, by what they went on from.",
            ["source"],
            registry=registry,
        )
        self.version_changes = Counter(
            "ebonyhaven_stream_version_changes",
            "Streams that went on at another software version than before.",
            registry=registry,
        )
        self.rollout_answers = Counter(
            "ebonyhaven_rollout_answers",
            "Answers of services with an open roll-out, by version and end.",
            ["version", "end"],
            registry=registry,
        )
        self.resume_pause = Histogram(
            "ebonyhaven_stream_resume_pause_seconds",
            "Pause of a stream that went on at another server.",
            buckets=PAUSE_BUCKETS_S,
            registry=registry,
        )
        self.first_event = Histogram(
            "ebonyhaven_stream_first_event_seconds",
            "Time from a request to its first event.",
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.late_streams = Counter(
            "ebonyhaven_late_streams",
            "Streams that missed a target, by what missed it first.",
            ["what"],
            registry=registry,
        )
        self.delivery_lag = Histogram(
            "ebonyhaven_stream_delivery_lag_seconds",
            "Longest time that an event of a stream waited for its caller's link.",
            buckets=PAUSE_BUCKETS_S,
            registry=registry,
        )
        self.turn_lag = Histogram(
            "ebonyhaven_turn_lag_seconds",
            "How much later than asked a call of the reactor came.",
            buckets=PAUSE_BUCKETS_S,
            registry=registry,
        )
        self.latency = Histogram(
            "ebonyhaven_forwarded_latency_seconds",
            "Time from a request to its whole answer, for short requests.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.refusal = Histogram(
            "ebonyhaven_refusal_seconds",
            "Time from a request to its rejection as not run, by step.",
            ["step"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.losses_checked = Counter(
            "ebonyhaven_server_losses_checked",
            "Losses of servers before an answer, by whether they count as crashes.",
            ["result"],
            registry=registry,
        )
        self.copies = Counter(
            "ebonyhaven_run_copies",
            "Copies of runs that were asked for after the loss of one, by result.",
            ["result"],
            registry=registry,
        )
        self.server_rests = Counter(
            "ebonyhaven_server_rests",
            "Times for which backend servers wanted no requests of this instance.",
            registry=registry,
        )
        self.load_deviation = Histogram(
            "ebonyhaven_server_load_deviation",
            "Requests per slot that a server reports with an answer, less the mean of "
            "the last reports of its service's servers.",
            buckets=LOAD_DEVIATION_BUCKETS,
            registry=registry,
        )
        self.unread_loads = Counter(
            "ebonyhaven_unread_server_loads",
            "Responses that state the load of their server in an unknown form.",
            registry=registry,
        )
        self.budget_refusals = Counter(
            "ebonyhaven_repeat_budget_refusals",
            "Repeats that the budget did not allow.",
            registry=registry,
        )
        self.active = Gauge(
            "ebonyhaven_forwarded_active",
            "Requests that are being handled, by kind.",
            ["kind"],
            registry=registry,
        )

    def record_response_end(
        self, kind: str, *, is_delimited: bool, partial_bytes: int
    ) -> None:
        """Count a response that ended without a failure of its connection.

        Parameters
        ----------
        kind : str
            Kind of the request.
        is_delimited : bool
            Whether a length or chunks marked the end, rather than the connection's.
        partial_bytes : int
            Bytes of an incomplete event before the end; 0 if there is none.
        """
        mark = "framing" if is_delimited else "connection"
        position = "inside_event" if partial_bytes else "boundary"
        self.response_ends.labels(kind, mark, position).inc()

    def register_state_gauges(
        self,
        *,
        read_version: Callable[[], int],
        count_backends: Callable[[], int],
        count_suspects: Callable[[], int],
        is_unresponsive: Callable[[], bool],
        count_connections: Callable[[], int],
        is_contact_lost: Callable[[], bool],
        measure_configuration_age_s: Callable[[], float],
        measure_list_age_s: Callable[[], float],
    ) -> None:
        """Register gauges of the instance's state, read at each scrape.

        Parameters
        ----------
        read_version : callable
            Returns the version of the active configuration, 0 for none.
        count_backends, count_suspects : callable
            Return the number of listed servers, and of those excluded from new
            requests.
        is_unresponsive : callable
            Returns whether the store is unresponsive.
        count_connections : callable
            Returns the number of connections to servers opened since startup.
        is_contact_lost : callable
            Returns whether no server can be reached.
        measure_configuration_age_s, measure_list_age_s : callable
            Return the time since the configuration, or the server list, was last known
            to be current.
        """
        gauges = (
            ("configuration_version", "Configuration in force.", read_version),
            ("backends", "Backend servers on the list.", count_backends),
            ("backends_suspect", "Servers that get no new work.", count_suspects),
            ("store_behind", "Whether the store does not answer.", is_unresponsive),
            ("connections_opened", "Connections to servers.", count_connections),
            ("contact_lost", "Whether no server is reached.", is_contact_lost),
            (
                "configuration_age_seconds",
                "Time since the configuration was last known to be current.",
                measure_configuration_age_s,
            ),
            (
                "server_list_age_seconds",
                "Time since the server list was last known to be current.",
                measure_list_age_s,
            ),
        )
        for name, help_text, read in gauges:
            gauge = Gauge(f"ebonyhaven_{name}", help_text, registry=self.registry)
            gauge.set_function(read)

    def register_room_gauge(self, read_rooms: Callable[[], dict[str, int]]) -> None:
        """Register a gauge of the learned room of servers, read at each scrape.

        Parameters
        ----------
        read_rooms : callable
            Returns by server how many requests it is taken to have room for.
        """
        self.registry.register(_RoomCollector(read_rooms))


class _RoomCollector(Collector):
    """Collects the learned room of the servers that this instance hands out."""

    def __init__(self, read_rooms: Callable[[], dict[str, int]]):
        self._read_rooms = read_rooms

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """See `Collector.collect`."""
        gauge = GaugeMetricFamily(
            "ebonyhaven_backend_room",
            "Requests that a brittle server is taken to have room for, at its owner.",
            labels=["server"],
        )
        for server_id, room in self._read_rooms().items():
            gauge.add_metric([server_id], room)
        yield gauge
