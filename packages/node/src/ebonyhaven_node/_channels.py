"""Messages between instances over pynng push and pull sockets."""

from __future__ import annotations

import random
import select
import time
from collections.abc import Callable, Collection, Mapping

import attrs
import pynng
import structlog
from ebonyhaven_decisions import quote
from twisted.internet.interfaces import IReactorFDSet, IReadDescriptor
from zope.interface import implementer

from ebonyhaven_node._channel_metrics import ChannelMetrics, Direction
from ebonyhaven_node._frames import (
    NNG_HEADER_BYTES,
    Frame,
    FrameError,
    FrameKind,
    decode_frame,
    encode_frame,
)

SEND_QUEUE_MESSAGES = 8
RECEIVE_QUEUE_MESSAGES = 64
RECONNECT_MIN_MS = 250
RECONNECT_MAX_MS = 4000
IDLE_TIMEOUT_S = 10.0
MIN_REPLACED_AGE_S = 2.0  # of connections, which several probes at once replace once
MAX_MESSAGE_BYTES = 1 << 20
MAX_MESSAGES_PER_WAKEUP = 64

_log = structlog.get_logger()

FrameHandler = Callable[[Frame], None]


@attrs.define(slots=True)
class _Connection:
    socket: pynng.Push0
    opened_at: float
    used_at: float


@implementer(IReadDescriptor)
class _ReceiveDescriptor:
    """Calls ``on_ready`` from the reactor when a socket has a message to receive."""

    def __init__(self, socket: pynng.Pull0, on_ready: Callable[[], None]):
        self._descriptor = socket.recv_fd
        self._on_ready = on_ready

    def fileno(self) -> int:
        return self._descriptor

    def doRead(self) -> None:  # noqa: N802 Twisted interface
        self._on_ready()

    def connectionLost(self, reason: object) -> None:  # noqa: N802 Twisted interface
        """Do nothing; `Channels` closes the socket."""

    def logPrefix(self) -> str:  # noqa: N802 Twisted interface
        return "channels"


@attrs.frozen(slots=True, kw_only=True)
class ChannelOptions:
    """Message loss and redirections for development and tests.

    Parameters
    ----------
    loss : float
        Share of the messages that are dropped instead of sent, 0 to 1.
    routes : mapping of str to str
        Maps control addresses to the addresses to connect to instead, such as
        those of a fault proxy. Other control addresses are connected to directly.
    """

    loss: float = 0.0
    routes: Mapping[str, str] = attrs.field(factory=dict)


class Channels:
    """Sends and receives the messages between instances.

    Sending never blocks: a message that does not fit the send queue of its
    connection is dropped and counted. Call all methods from the reactor thread.

    Parameters
    ----------
    reactor : IReactorFDSet
    address : str
        ``IP:PORT`` to listen on.
    metrics : ChannelMetrics
    rng : random.Random
    options : ChannelOptions

    Raises
    ------
    pynng.NNGException
        If the address cannot be listened on.
    """

    def __init__(
        self,
        *,
        reactor: IReactorFDSet,
        address: str,
        metrics: ChannelMetrics,
        rng: random.Random,
        options: ChannelOptions | None = None,
    ):
        self._reactor = reactor
        self._metrics = metrics
        self._rng = rng
        self._options = options or ChannelOptions()
        self._handlers: dict[FrameKind, FrameHandler] = {}
        self._connections: dict[str, _Connection] = {}
        self._socket = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        try:
            self._socket.listen(f"tcp://{address}")
        except pynng.NNGException:
            self._socket.close()
            raise
        self._descriptor = _ReceiveDescriptor(self._socket, self._receive_pending)
        self._poll = select.poll()
        self._poll.register(self._descriptor.fileno(), select.POLLIN)
        reactor.addReader(self._descriptor)

    def subscribe(self, kind: FrameKind, handler: FrameHandler) -> None:
        """Set the handler of the messages of a kind.

        Parameters
        ----------
        kind : FrameKind
        handler : callable
            Called with each `Frame`.
        """
        self._handlers[kind] = handler

    def send(self, address: str, frame: Frame, *, new_connection: bool = False) -> bool:
        """Queue a message for sending, or drop and count it.

        Parameters
        ----------
        address : str
            Control address of the receiver.
        frame : Frame
        new_connection : bool
            Whether to replace the open connection to the receiver by a new one.

        Returns
        -------
        bool
            Whether the message was queued.
        """
        return self._send_data(
            address, frame.kind, encode_frame(frame), new_connection=new_connection
        )

    def send_to_all(self, addresses: Collection[str], frame: Frame) -> None:
        """Queue a message, encoded once, for several receivers.

        Parameters
        ----------
        addresses : collection of str
            Control addresses of the receivers.
        frame : Frame
        """
        if not addresses:
            return
        data = encode_frame(frame)
        for address in addresses:
            self._send_data(address, frame.kind, data)

    def _send_data(
        self,
        address: str,
        kind: FrameKind,
        data: bytes,
        *,
        new_connection: bool = False,
    ) -> bool:
        if self._options.loss and self._rng.random() < self._options.loss:
            self._metrics.dropped.labels("development_loss").inc()
            return False
        if new_connection:
            self._disconnect(address)
        try:
            connection = self._connect(address)
        except (pynng.NNGException, ValueError) as error:
            self._metrics.dropped.labels("address_invalid").inc()
            _log.warning("address_invalid", peer=quote(address), reason=str(error))
            return False
        try:
            connection.socket.send(data, block=False)
        except pynng.NNGException:
            self._metrics.dropped.labels("queue_full").inc()
            return False
        self._metrics.count_message(Direction.SENT, kind, len(data) + NNG_HEADER_BYTES)
        return True

    def close_idle(self) -> None:
        """Close the connections that were not used for ``IDLE_TIMEOUT_S`` seconds."""
        cutoff = time.monotonic() - IDLE_TIMEOUT_S
        for address, connection in list(self._connections.items()):
            if connection.used_at < cutoff:
                self._disconnect(address)

    def replace_connections(self) -> None:
        """Send the next messages over new connections, unless one was just opened.

        Nothing shows a sender that a connection has fallen silent. If one has, the
        others that were open at that moment may have as well.
        """
        cutoff = time.monotonic() - MIN_REPLACED_AGE_S
        for address, connection in list(self._connections.items()):
            if connection.opened_at < cutoff:
                self._disconnect(address)

    def close(self) -> None:
        """Close all sockets."""
        self._reactor.removeReader(self._descriptor)
        self._socket.close()
        for address in list(self._connections):
            self._disconnect(address)

    def _connect(self, address: str) -> _Connection:
        connection = self._connections.get(address)
        if connection is None:
            target = self._options.routes.get(address, address)
            socket = pynng.Push0(
                send_buffer_size=SEND_QUEUE_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            try:
                socket.dial(f"tcp://{target}", block=False)
            except (pynng.NNGException, ValueError):
                socket.close()
                raise
            connection = _Connection(socket, time.monotonic(), 0.0)
            self._connections[address] = connection
        connection.used_at = time.monotonic()
        return connection

    def _disconnect(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.socket.close()

    def _receive_pending(self) -> None:
        for _ in range(MAX_MESSAGES_PER_WAKEUP):
            try:
                message = self._socket.recv_msg(block=False)
            except pynng.TryAgain:
                return
            self._deliver(message.bytes)
            if not self._poll.poll(0):  # cheaper than a receive that finds nothing
                return

    def _deliver(self, data: bytes) -> None:
        try:
            frame = decode_frame(data)
        except FrameError:
            self._metrics.dropped.labels("malformed").inc()
            return
        size = len(data) + NNG_HEADER_BYTES
        self._metrics.count_message(Direction.RECEIVED, frame.kind, size)
        handler = self._handlers.get(frame.kind)
        if handler is None:
            self._metrics.dropped.labels("no_handler").inc()
            return
        try:
            handler(frame)
        except Exception:  # raising would make the reactor stop reading this socket
            self._metrics.dropped.labels("handler_failed").inc()
            _log.exception("message_not_handled", step="receive", peer=frame.sender)
