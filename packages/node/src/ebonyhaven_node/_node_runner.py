"""Runs a node in the Twisted reactor."""

from __future__ import annotations

import signal

import structlog
from twisted.internet import reactor
from twisted.internet.defer import ensureDeferred

from ebonyhaven_node._composition import Node
from ebonyhaven_node._log_writer import LogOutput
from ebonyhaven_node._settings import Settings

EXIT_START_FAILED = 3

_log = structlog.get_logger()


def run_node(settings: Settings, log_output: LogOutput) -> int:
    """Run a node until it leaves gracefully on SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
    log_output : LogOutput

    Returns
    -------
    int
        Exit code of the process: 0, or `EXIT_START_FAILED`.
    """
    exit_codes: list[int] = []
    node = Node(settings, reactor)

    def stop(*_: object) -> None:
        leaving = ensureDeferred(node.leave())
        leaving.addBoth(lambda _: reactor.stop())

    def start() -> None:
        try:
            node.start()
            node.attach_log_output(log_output)
        except Exception:
            _log.exception("node_start_failed", instance=settings.instance)
            exit_codes.append(EXIT_START_FAILED)
            reactor.stop()
            return
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: reactor.callFromThread(stop))
        started = ensureDeferred(node.wait_for_state())
        started.addCallback(lambda _: print("ready", flush=True))

    reactor.callWhenRunning(start)
    reactor.run()
    return exit_codes[0] if exit_codes else 0
