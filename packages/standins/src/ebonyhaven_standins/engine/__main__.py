"""Command line of the engine stand-in.

SIGUSR1 marks the engine as leaving: it finishes its runs and refuses new ones.
"""

from __future__ import annotations

import signal
from typing import Annotated

import typer

from ebonyhaven_standins._execution_log import ExecutionLog
from ebonyhaven_standins._serving import serve_app
from ebonyhaven_standins.engine import (
    Engine,
    EngineHttpApi,
    EngineSettings,
    LoadSampler,
)

DEFAULTS = EngineSettings(name="", model="")


def main(
    *,
    name: Annotated[str, typer.Option()],
    address: Annotated[str, typer.Option()],
    model: Annotated[str, typer.Option()],
    log: Annotated[str, typer.Option(help="File of the execution log.")],
    checks_fence: Annotated[bool, typer.Option("--checks-fence")] = False,
    time_scale: float = DEFAULTS.time_scale,
    seed: Annotated[int | None, typer.Option()] = None,
    capacity: int = DEFAULTS.capacity,
    max_waiting: int = DEFAULTS.max_waiting,
    step_ms: float = DEFAULTS.step_ms,
    full_step_ms: float = DEFAULTS.full_step_ms,
    prefill_tokens_per_s: float = DEFAULTS.prefill_tokens_per_s,
    cache_blocks: int = DEFAULTS.cache_blocks,
    load_lag_s: float = DEFAULTS.load_lag_s,
    event_delay_s: float = DEFAULTS.event_delay_s,
    event_loss: float = DEFAULTS.event_loss,
    order_s: float = DEFAULTS.order_s,
    keep_s: float = DEFAULTS.keep_s,
    unattended_s: float = DEFAULTS.unattended_s,
) -> None:
    """Run one engine until it is killed."""
    from twisted.internet import reactor

    settings = EngineSettings(
        name=name,
        model=model,
        checks_fence=checks_fence,
        time_scale=time_scale,
        seed=seed,
        capacity=capacity,
        max_waiting=max_waiting,
        step_ms=step_ms,
        full_step_ms=full_step_ms,
        prefill_tokens_per_s=prefill_tokens_per_s,
        cache_blocks=cache_blocks,
        load_lag_s=load_lag_s,
        event_delay_s=event_delay_s,
        event_loss=event_loss,
        order_s=order_s,
        keep_s=keep_s,
        unattended_s=unattended_s,
    )
    engine = Engine(settings, ExecutionLog(log, name), reactor)
    signal.signal(signal.SIGUSR1, lambda *_: _mark_leaving(engine))
    serve_app(EngineHttpApi(engine, LoadSampler(engine, reactor)).app, address)


def _mark_leaving(engine: Engine) -> None:
    engine.state.leaving = True


if __name__ == "__main__":
    typer.run(main)
