"""Resource use of each role at the target scale, extrapolated from measurements."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from ebonyhaven_standins.slopes import _target as target
from ebonyhaven_standins.slopes._quantities import Measurement
from ebonyhaven_standins.slopes._tables import format_figure, render_table

CAPACITY_HEADER = (
    "role",
    "line",
    "worked out as",
    "value",
    "unit",
    "limit",
    "margin",
    "fits",
)

Values = Mapping[str, float]


class CapacityLine(NamedTuple):
    """One line of the capacity table.

    Parameters
    ----------
    role, name : str
        Role of the node, and the resource that the line describes.
    formula : str
        Short form of the calculation, as printed in the table.
    unit : str
        Unit of the value and of the limit.
    compute : callable
        Returns the value, given the measured values by key of their quantity.
    limit : float, optional
        Largest permitted value; None if there is no limit.
    """

    role: str
    name: str
    formula: str
    unit: str
    compute: Callable[[Values], float]
    limit: float | None = None

    def meets_limit(self, values: Values) -> bool:
        """Return whether the value is within the limit, if there is one."""
        return self.limit is None or self.compute(values) <= self.limit


def _compute_control_state_mb(values: Values) -> float:
    return (
        target.INSTANCES * values["peer_state"]
        + target.BACKEND_SERVERS * values["server_state"]
        + target.WORKSPACES * (values["workspace_state"] + values["workspace_metrics"])
        + target.LIST_ENTRIES * values["list_state"]
    ) / 1e6


def _compute_list_reader_cpu_percent(values: Values) -> float:
    cpu_us_per_read = target.LIST_ENTRIES * values["list_cpu"]
    # 1e4 microseconds of processor time per second are 1 % of a core.
    return cpu_us_per_read / target.LIST_READER_INTERVAL_S / 1e4


def _compute_scrape_cpu_percent(values: Values) -> float:
    return target.WORKSPACES * values["scrape_cpu"] / target.SCRAPE_PERIOD_S / 1e4


def _compute_control_cpu_percent(values: Values) -> float:
    return (
        values["rest_cpu"]
        + values["membership_cpu"] / 1e4
        + _compute_scrape_cpu_percent(values)
    )


def _compute_membership_bytes_per_s(values: Values) -> float:
    digest_bytes = values["membership_messages"] * target.HEARTBEAT_DIGEST_BYTES
    return values["membership_bytes"] + digest_bytes


def _compute_list_reader_bytes_per_s(values: Values) -> float:
    bytes_per_read = target.LIST_ENTRIES * values["list_bytes"]
    return bytes_per_read / target.LIST_READER_INTERVAL_S


def _compute_mean_list_bytes_per_s(values: Values) -> float:
    reader_bytes_per_s = (
        _compute_list_reader_bytes_per_s(values)
        * target.LIST_READER_COUNT
        / target.INSTANCES
    )
    bytes_per_read = target.LIST_ENTRIES * values["list_bytes"]
    return reader_bytes_per_s + bytes_per_read / target.LIST_REPAIR_INTERVAL_S


def _compute_configuration_bytes_per_s(values: Values) -> float:
    return (
        values["declaration_bytes"]
        * target.CONFIGURATION_CHANGES_PER_DAY
        / target.DAY_S
    )


def _compute_table_reads_per_s(values: Values) -> float:
    configuration_reads = (
        target.CLUSTER_CONFIGURATION_READS_PER_S * values["rest_reads"]
    )
    return configuration_reads + target.MODELS * values["pool_reads"]


def _compute_claim_writes_per_s(_: Values) -> float:
    return target.REQUESTS_PER_S * target.NOT_REPEATABLE_REQUEST_SHARE


CAPACITY_LINES = (
    CapacityLine(
        "entry and routing",
        "backend servers",
        "730 × backend server",
        "MB",
        lambda v: target.BACKEND_SERVERS * v["server_state"] / 1e6,
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "entry and routing",
        "workspaces, with metrics",
        "920 × (state + metrics)",
        "MB",
        lambda v: (
            target.WORKSPACES * (v["workspace_state"] + v["workspace_metrics"]) / 1e6
        ),
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "entry and routing",
        "routing decisions",
        "18.2 requests/s × decision",
        "% of a core",
        lambda v: target.REQUESTS_PER_S_PER_NODE * v["routing_cpu"] / 1e4,
        target.WHOLE_CORE_PERCENT,
    ),
    CapacityLine(
        "entry and routing",
        "stall of one metrics scrape",
        "920 × scrape of a workspace",
        "ms",
        lambda v: target.WORKSPACES * v["scrape_cpu"] / 1e3,
        1e3 * target.TOKEN_GAP_S,
    ),
    CapacityLine(
        "relaying",
        "tokens",
        "3,846 tokens/s × token",
        "% of a core",
        lambda v: target.TOKENS_PER_S_PER_NODE * v["token_cpu"] / 1e4,
        target.WHOLE_CORE_PERCENT,
    ),
    CapacityLine(
        "relaying",
        "tokens and requests",
        "tokens + 18.2 requests/s × request",
        "% of a core",
        lambda v: (
            (
                target.TOKENS_PER_S_PER_NODE * v["token_cpu"]
                + target.REQUESTS_PER_S_PER_NODE * v["request_cpu"]
            )
            / 1e4
        ),
        target.WHOLE_CORE_PERCENT,
    ),
    CapacityLine(
        "relaying",
        "open streams",
        "238 × (stream + held tokens × token)",
        "MB",
        lambda v: (
            target.OPEN_STREAMS_PER_NODE
            * (
                v["stream_memory"]
                + target.MEAN_KEPT_TOKENS_PER_STREAM * v["token_memory"]
            )
            / 1e6
        ),
    ),
    CapacityLine(
        "relaying",
        "kept answers",
        "512 × (run + 211 × token)",
        "MB",
        lambda v: (
            target.KEPT_RUNS_PER_NODE
            * (v["key_memory"] + target.MEAN_ANSWER_TOKENS * v["token_memory"])
            / 1e6
        ),
    ),
    CapacityLine(
        "membership",
        "peers",
        "390 × peer",
        "MB",
        lambda v: target.INSTANCES * v["peer_state"] / 1e6,
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "membership",
        "decisions",
        "at 390",
        "% of a core",
        lambda v: v["membership_cpu"] / 1e4,
        target.MAX_CONTROL_CPU_PERCENT,
    ),
    CapacityLine(
        "membership",
        "messages with full digests",
        "at 390 + messages × 64",
        "bytes/s",
        _compute_membership_bytes_per_s,
        target.MAX_CONTROL_BYTES_PER_S,
    ),
    CapacityLine(
        "membership",
        "a lost data centre is off all entry lists",
        "at 56 of 390",
        "s",
        lambda v: v["loss_seconds"],
    ),
    CapacityLine(
        "membership",
        "busiest quarter second of that loss",
        "at 56 of 390",
        "bytes/s",
        lambda v: v["loss_bytes"],
        target.MAX_CONTROL_BYTES_PER_S,
    ),
    CapacityLine(
        "configuration",
        "row of the configuration",
        "at 920",
        "bytes",
        lambda v: v["declaration_bytes"],
        target.MAX_TABLE_VALUE_BYTES,
    ),
    CapacityLine(
        "configuration",
        "changes received",
        "520 a day × row",
        "bytes/s",
        _compute_configuration_bytes_per_s,
        target.MAX_CONTROL_BYTES_PER_S,
    ),
    CapacityLine(
        "platform client",
        "list received, on average",
        "1,120 entries, 2 readers each 2.6 s, all each 780 s",
        "bytes/s",
        _compute_mean_list_bytes_per_s,
        target.MAX_CONTROL_BYTES_PER_S,
    ),
    CapacityLine(
        "platform client",
        "list received, a reader in its minute",
        "1,120 entries every 2.6 s",
        "bytes/s",
        _compute_list_reader_bytes_per_s,
        target.MAX_CONTROL_BYTES_PER_S,
    ),
    CapacityLine(
        "platform client",
        "list read, a reader in its minute",
        "1,120 entries every 2.6 s",
        "% of a core",
        _compute_list_reader_cpu_percent,
        target.MAX_CONTROL_CPU_PERCENT,
    ),
    CapacityLine(
        "platform client",
        "state of the list",
        "1,120 × entry",
        "MB",
        lambda v: target.LIST_ENTRIES * v["list_state"] / 1e6,
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "lease holder and placement",
        "table reads",
        "10 pools",
        "reads/s",
        lambda v: target.MODELS * v["pool_reads"],
        target.MAX_TABLE_READS_PER_S,
    ),
    CapacityLine(
        "lease holder and placement",
        "table writes",
        "10 pools",
        "writes/s",
        lambda v: target.MODELS * v["pool_writes"],
        target.MAX_TABLE_WRITES_PER_S,
    ),
    CapacityLine(
        "table",
        "reads of all nodes",
        "100 × reads at rest + 10 pools",
        "reads/s",
        _compute_table_reads_per_s,
        target.MAX_TABLE_READS_PER_S,
    ),
    CapacityLine(
        "table",
        "claims, one request in ten not repeatable",
        "710 requests/s, one write each",
        "writes/s",
        _compute_claim_writes_per_s,
        target.MAX_TABLE_WRITES_PER_S,
    ),
    CapacityLine(
        "list of instances",
        "bytes served to all nodes",
        "390 × list received on average",
        "MB/s",
        lambda v: target.INSTANCES * _compute_mean_list_bytes_per_s(v) / 1e6,
    ),
    CapacityLine(
        "a node, control",
        "processor time",
        "rest + membership at 390 + a scrape every 15 s",
        "% of a core",
        _compute_control_cpu_percent,
        target.MAX_CONTROL_CPU_PERCENT,
    ),
    CapacityLine(
        "a node, control",
        "state alone",
        "peers + backend servers + workspaces + list",
        "MB",
        _compute_control_state_mb,
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "a node, control",
        "state and a node at rest above its libraries",
        "state + (at rest − libraries)",
        "MB",
        lambda v: _compute_control_state_mb(v) + v["node_at_rest"] - v["libraries"],
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "a node, control",
        "state and the whole process at rest",
        "state + at rest",
        "MB",
        lambda v: _compute_control_state_mb(v) + v["node_at_rest"],
        target.MAX_CONTROL_MEMORY_MB,
    ),
    CapacityLine(
        "a node, control",
        "bytes sent and received, on average",
        "2 × messages with full digests + list + changes",
        "bytes/s",
        lambda v: (
            2 * _compute_membership_bytes_per_s(v)
            + _compute_mean_list_bytes_per_s(v)
            + _compute_configuration_bytes_per_s(v)
        ),
        target.MAX_CONTROL_BYTES_PER_S,
    ),
)


def extract_values(measurements: Mapping[str, Measurement]) -> dict[str, float]:
    """Return the value of each measured quantity by its key."""
    return {key: item.value for key, item in measurements.items()}


def render_capacity(measurements: Mapping[str, Measurement]) -> str:
    """Return the capacity table in Markdown.

    Parameters
    ----------
    measurements : mapping of str to Measurement
        Measurements of all quantities by key.
    """
    values = extract_values(measurements)
    return render_table(
        CAPACITY_HEADER, [_render_line(line, values) for line in CAPACITY_LINES]
    )


def _render_line(line: CapacityLine, values: Values) -> tuple[str, ...]:
    value = line.compute(values)
    limit, margin, verdict = "", "", ""
    if line.limit is not None:
        limit = format_figure(line.limit)
        margin = f"{format_figure(float(f'{line.limit / value:.2g}'))}×"
        verdict = "yes" if line.meets_limit(values) else "**no**"
    return (
        line.role,
        line.name,
        line.formula,
        format_figure(value),
        line.unit,
        limit,
        margin,
        verdict,
    )
