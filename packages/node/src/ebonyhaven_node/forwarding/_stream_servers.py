"""Selection of the servers of one stream."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from ebonyhaven_decisions.forwarding import (
    USABLE_MEMORY_SHARE,
    Backend,
    EngineTraits,
    EngineUse,
    TokenDemand,
    choose_backend,
    choose_copy_holder,
    choose_memory_share,
    compute_first_event_limits,
    count_queued_prefill_tokens,
    estimate_use,
    have_room,
    is_prompt_admitted,
    rank_engines,
    select_replaceable_engines,
    sum_run_tokens,
)
from ebonyhaven_decisions.forwarding.waiting import (
    count_places,
    leaves_time_to_urgent,
    limit_memory_share,
    limit_rank,
)

from ebonyhaven_node.forwarding._context import RelayContext
from ebonyhaven_node.forwarding.waiting import EngineRoom

FAILED_SERVER_AVOIDANCE_S = 2.0
DEFAULT_FIRST_EVENT_TARGET_S = 1.0  # for routes without a target
MIN_CONNECTIONS_PER_SERVER = 2.0  # even if many instances share the limit


class StreamServerSelector:
    """Selects servers for one stream, avoiding those on which it recently failed.

    Parameters
    ----------
    service : str
    engine : EngineTraits or None
        None for a service without model engines.
    demand : TokenDemand
    priority : int
        Priority of the request; 0 is the most urgent.
    context : RelayContext
    """

    def __init__(
        self,
        *,
        service: str,
        engine: EngineTraits | None,
        demand: TokenDemand,
        priority: int,
        context: RelayContext,
    ):
        self._service = service
        self._engine = engine
        self._demand = demand
        self._rank = limit_rank(priority)
        self._context = context
        self._avoided_until: dict[tuple[str, int], float] = {}

    def avoid(self, backend: Backend, now: float) -> None:
        """Avoid a server after a failed attempt, unless no other server is usable.

        It is avoided for `FAILED_SERVER_AVOIDANCE_S`.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        """
        self._avoided_until[backend.key] = now + FAILED_SERVER_AVOIDANCE_S

    def has_room(self, now: float, version: str | None = None) -> bool:
        """Return whether the engines of the service have room for additional streams.

        Parameters
        ----------
        now : float
            Seconds.
        version : str or None
            Software version of the engines; None for any.
        """
        if self._engine is None:
            return False
        engines = self._list_candidates(now, version)
        peers = self._context.peers.sum_by_server(now)
        return have_room(engines, self._engine.memory_tokens, peers)

    def read_room(self, now: float) -> EngineRoom:
        """Return the use of the engines of the service.

        Parameters
        ----------
        now : float
            Seconds.
        """
        engines = self._list_candidates(now, version=None)
        peers = self._context.peers.sum_by_server(now)
        memory_tokens = self._engine.memory_tokens if self._engine else 0
        return EngineRoom(
            sum_run_tokens(engines, peers),
            is_plenty=have_room(engines, memory_tokens, peers),
            read_at=now,
        )

    def has_only_leaving(self) -> bool:
        """See `BackendDirectory.has_only_leaving`."""
        return self._context.state.backends.has_only_leaving(self._service)

    def find_limit_end(
        self, request_id: str, now: float, version: str | None = None
    ) -> float | None:
        """Return when a waiting request may be sent, if limits forbid it now.

        See `BackendLimits.find_limit_end`.

        Parameters
        ----------
        request_id : str
        now : float
            Seconds.
        version : str or None
            Software version of the servers; None for any.
        """
        line = self._context.waiting.get(self._service).line
        return self._context.state.backends.limits.find_limit_end(
            self._service,
            now,
            version=version,
            ahead=line.count_ahead(request_id, now),
        )

    def find_rest_end(self, now: float, version: str | None = None) -> float | None:
        """Return when the first rest ends, if only rests keep the stream waiting.

        See `BackendLimits.find_rest_end`.

        Parameters
        ----------
        now : float
            Seconds.
        version : str or None
            Software version of the servers; None for any.
        """
        return self._context.state.backends.limits.find_rest_end(
            self._service, now, version=version
        )

    def choose(
        self,
        prompt_id: str,
        now: float,
        *,
        waited_s: float,
        target_s: float,
        version: str | None = None,
    ) -> Backend | None:
        """Return the server for the next attempt, the first of `rank`.

        Parameters
        ----------
        prompt_id, now, waited_s, target_s, version
            See `rank`.

        Returns
        -------
        Backend or None
            None if no server has capacity.
        """
        ranked = self.rank(
            prompt_id, now, waited_s=waited_s, target_s=target_s, version=version
        )
        return ranked[0] if ranked else None

    def rank(
        self,
        prompt_id: str,
        now: float,
        *,
        waited_s: float,
        target_s: float,
        version: str | None = None,
        has_begun: bool = False,
    ) -> list[Backend]:
        """Return the servers with capacity for the next attempt, the best one first.

        Parameters
        ----------
        prompt_id : str
            Identifies the section of the prompt that is unique to the request.
        now : float
            Seconds.
        waited_s, target_s : float
            See `is_prompt_admitted`.
        version : str or None
            Software version that the stream is bound to; None before its first event.
        has_begun : bool
            Whether its caller has received events, so that it uses what is kept free
            for more urgent ones.

        Returns
        -------
        list of Backend
            At most one for a service without model engines.
        """
        rollouts = self._context.state.backends.rollouts
        usable = self._list_usable(now, version) or self._list_candidates(now, version)
        if version is None:
            usable = rollouts.add_due(select_replaceable_engines(usable), usable)
        usable = [each for each in usable if self._has_free_connection(each)]
        usable = self._context.state.backends.data_centres.avoid_suspect_data_centres(
            usable, now
        )
        if self._engine is None:
            chosen = choose_backend(
                rollouts.list_due(usable),
                data_centre=self._context.data_centre,
                now=now,
                rng=self._context.rng,
            )
            return [] if chosen is None else [chosen]
        peers = self._context.peers.sum_by_server(now)
        ranks = self._context.waiting.get(self._service).ranks
        more_urgent = (
            [] if has_begun else ranks.list_more_urgent_targets(self._rank, now)
        )
        prompt_s = self._context.prefill_rate.estimate_s(self._demand.prompt_tokens)
        admitting = [
            each
            for each in usable
            if is_prompt_admitted(
                waited_s=waited_s,
                queue_s=self._estimate_queue_s(each, peers),
                target_s=target_s,
            )
            and leaves_time_to_urgent(
                queue_s=self._estimate_queue_s(each, peers),
                prompt_s=prompt_s,
                more_urgent_targets=more_urgent,
            )
        ]
        ranked = rank_engines(
            admitting,
            demand=self._demand,
            memory_tokens=self._engine.memory_tokens,
            peers=peers,
            rng=self._context.rng,
            now=now,
            prompt_id=prompt_id,
            data_centre=self._context.data_centre,
            memory_share=limit_memory_share(
                choose_memory_share(waited_s=waited_s, target_s=target_s),
                tokens=self._demand.tokens,
                memory_tokens=self._engine.memory_tokens,
                more_urgent_ranks=len(more_urgent),
            ),
        )
        return rollouts.prefer(ranked)

    def count_places(
        self, engines: Sequence[Backend], now: float, *, remaining_s: float
    ) -> int:
        """Return how many streams like this one engines could take.

        Parameters
        ----------
        engines : sequence of Backend
            Those that have room for it.
        now : float
            Seconds.
        remaining_s : float
            Time until the stream misses its target; infinite for none.
        """
        if self._engine is None:
            return len(engines)
        peers = self._context.peers.sum_by_server(now)
        usable_tokens = USABLE_MEMORY_SHARE * self._engine.memory_tokens
        rate = self._context.prefill_rate
        places = 0
        for each in engines:
            use = estimate_use(each, peers)
            places += count_places(
                free_tokens=usable_tokens - use.run_tokens - use.copy_tokens,
                tokens=self._demand.tokens,
                queue_s=rate.estimate_s(use.prefill_tokens),
                prompt_s=rate.estimate_s(self._demand.prompt_tokens),
                remaining_s=remaining_s,
            )
        return places

    def estimate_patience_s(
        self, backend: Backend, now: float, *, target_s: float
    ) -> float:
        """Return how long a server may send nothing after it got the stream, seconds.

        Parameters
        ----------
        backend : Backend
        now : float
            Seconds.
        target_s : float
            Target for the time to the first event; 0 for none.

        Returns
        -------
        float
            Seconds.
        """
        peers = self._context.peers.sum_by_server(now)
        tokens = count_queued_prefill_tokens(backend, peers)
        limits = compute_first_event_limits(
            target_latency_s=target_s or DEFAULT_FIRST_EVENT_TARGET_S,
            estimate_s=self._context.prefill_rate.estimate_s(
                tokens + self._demand.prompt_tokens
            ),
        )
        return limits.probe_after_s

    def _estimate_queue_s(
        self, backend: Backend, peers: Mapping[str, EngineUse]
    ) -> float:
        """Return the time to prefill the queued prompts and this one, seconds."""
        tokens = count_queued_prefill_tokens(backend, peers)
        if not tokens:
            return 0.0
        return self._context.prefill_rate.estimate_s(
            tokens + self._demand.prompt_tokens
        )

    def choose_holder(self, source: Backend, now: float) -> Backend | None:
        """Return the server for the copy of a run.

        Parameters
        ----------
        source : Backend
            Server of the run.
        now : float
            Seconds.

        Returns
        -------
        Backend or None
            None if the run needs no copy or no server has capacity for it.
        """
        if self._engine is None or not self._engine.copies_continuously:
            return None
        if not self._demand.prompt_tokens:
            return None
        directory = self._context.state.backends
        return choose_copy_holder(
            self._list_usable(now, source.software_version),
            source=source,
            demand=self._demand,
            memory_tokens=self._engine.memory_tokens,
            peers=self._context.peers.sum_by_server(now),
            rng=self._context.rng,
            now=now,
            is_suspect_data_centre=lambda data_centre: (
                directory.data_centres.is_suspect_data_centre(data_centre, now)
            ),
        )

    def _list_usable(self, now: float, version: str | None = None) -> list[Backend]:
        avoided_keys = [
            key for key, until in self._avoided_until.items() if now < until
        ]
        return self._list_candidates(now, version, avoided_keys)

    def _list_candidates(
        self,
        now: float,
        version: str | None,
        excluded: Sequence[tuple[str, int]] = (),
    ) -> list[Backend]:
        directory = self._context.state.backends
        usable = directory.list_usable(self._service, now, excluded, version)
        known = [each for each in usable if not self._context.may_be_replaced(each)]
        if len(known) == len(usable):
            return usable
        if version is None and directory.versions.infer(self._service, now) is not None:
            return usable
        if not known:
            self._context.crash_monitor.probe_replaced(usable[0])
        return known

    def _has_free_connection(self, backend: Backend) -> bool:
        configuration = self._context.state.configuration
        service = configuration.services.get(self._service) if configuration else None
        if service is None:
            return True
        share = service.max_connections / max(1, self._context.budget.instances)
        open_count = self._context.pool.count_open(backend.entry.address)
        return open_count < max(MIN_CONNECTIONS_PER_SERVER, share)
