"""Reading the configuration from the platform's table."""

from __future__ import annotations

import random

import structlog
from ebonyhaven_decisions import (
    CURRENT_KEY,
    DeclarationError,
    parse_declaration,
    parse_entry,
)
from ebonyhaven_platform import PlatformError, TableClient
from twisted.internet import task
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from ebonyhaven_node._configured import ConfigurationInForce

PERIOD_S = 1.0
JITTER = 0.3

_log = structlog.get_logger()


class ConfigurationPoller:
    """Puts the configuration of the table in force.

    Parameters
    ----------
    table : TableClient
    configuration : ConfigurationInForce
    reactor : IReactorTime
    rng : random.Random
    """

    def __init__(
        self,
        *,
        table: TableClient,
        configuration: ConfigurationInForce,
        reactor: IReactorTime,
        rng: random.Random,
    ):
        self._table = table
        self._configuration = configuration
        self._reactor = reactor
        self._rng = rng
        self._stopped = False
        self._waiting: Deferred | None = None

    async def run(self) -> None:
        """Read again and again until `stop` is called."""
        while not self._stopped:
            await self._read_once()
            period_s = PERIOD_S * self._rng.uniform(1 - JITTER, 1)
            self._waiting = task.deferLater(self._reactor, period_s)
            self._waiting.addErrback(lambda _: None)
            await self._waiting

    def stop(self) -> None:
        """End `run`."""
        self._stopped = True
        if self._waiting is not None:
            self._waiting.cancel()

    async def _read_once(self) -> None:
        try:
            rows = await self._table.read_rows([CURRENT_KEY])
        except PlatformError:
            return
        row = rows.find(CURRENT_KEY)
        if row.value is None:
            return
        entry = parse_entry(row.value)
        if entry.version <= self._configuration.version:
            return
        try:
            declaration = parse_declaration(entry.declaration)
        except DeclarationError as error:
            _log.error("configuration_refused", version=entry.version, error=str(error))
            return
        self._configuration.replace(declaration, entry.version)
        _log.info("configuration_in_force", version=entry.version)
