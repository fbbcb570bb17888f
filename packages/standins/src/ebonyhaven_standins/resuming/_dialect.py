"""Minimal header formats between callers, the node and simulated engines."""

from __future__ import annotations

from ebonyhaven_decisions import Outcome
from ebonyhaven_node.forwarding import (
    AttemptPlan,
    ForwardRequest,
    GenerationSize,
    Headers,
    RelayOrigin,
    RequestHead,
    ResponseHead,
)
from ebonyhaven_node.forwarding.interfaces import BackendDialect, CallerDialect

HOST = "engines.example"
API_KEY = "key"


class SimulatedCallerDialect(CallerDialect):
    """Reads requests with the headers ``id`` and ``size``.

    ``size`` is the number of prompt tokens and of output tokens, separated by a slash.
    """

    def read_request(
        self, head: RequestHead, body: bytes, arrived_at: float
    ) -> ForwardRequest:
        """See `CallerDialect.read_request`."""
        fields = {name.decode(): value.decode() for name, value in head.headers}
        prompt, _, output = fields["size"].partition("/")
        return ForwardRequest(
            request_id=fields["id"],
            method=head.method,
            target=head.target,
            host=HOST,
            path=head.target.decode(),
            headers=(),
            body=body,
            timeout_s=None,
            api_key=API_KEY,
            last_event_id=None,
            original_request_id=None,
            size=GenerationSize(int(prompt), int(output)),
            prompt_parts=(fields["id"],),
            arrived_at=arrived_at,
        )

    def write_relayed_headers(
        self, head: RequestHead, *, remaining_s: float, origin: RelayOrigin
    ) -> Headers:
        """See `CallerDialect.write_relayed_headers`."""
        return head.headers

    def encode_outcome(self, outcome: Outcome) -> tuple[Headers, bytes]:
        """See `CallerDialect.encode_outcome`."""
        return (), outcome.reason.encode()


class SimulatedBackendDialect(BackendDialect):
    """Writes requests to simulated engines and reads their responses."""

    def write_headers(
        self, request: ForwardRequest, server_id: str, plan: AttemptPlan
    ) -> Headers:
        """See `BackendDialect.write_headers`."""
        size = f"{request.size.prompt_tokens}/{request.size.output_tokens}"
        fields = {
            "host": HOST,
            "id": request.request_id,
            "size": size,
            "server": server_id,
            "after": plan.last_event_id,
            "copy-to": plan.copy_to,
            "copy": f"{plan.copy.handle or request.request_id}" if plan.copy else None,
        }
        return tuple(
            (name.encode(), value.encode())
            for name, value in fields.items()
            if value is not None
        )

    def read_head(self, status: int, headers: Headers) -> ResponseHead:
        """See `BackendDialect.read_head`."""
        fields = dict(headers)
        return ResponseHead(
            status=status,
            headers=(),
            request_id=fields[b"id"].decode(),
            has_origin_proof=status == 200,
            not_run=b"not-run" in fields,
            is_other_process=b"other" in fields,
            other_server_id=None,
            load=None,
        )

    def read_event_id(self, event: bytes) -> str | None:
        """See `BackendDialect.read_event_id`."""
        return event.partition(b"\n")[0].removeprefix(b"id: ").decode()
