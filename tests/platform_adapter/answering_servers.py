"""Stand-ins of servers that answer by themselves, after some time."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.web import server

from tests.platform_adapter.stand_ins import BackendServerStandIn

EVENT_INTERVAL_S = 0.1


class StreamingEngine(BackendServerStandIn):
    """Sends each stream an event every `EVENT_INTERVAL_S`, and then its end.

    Attributes
    ----------
    events : int
        Of each stream that begins from now on.
    """

    def __init__(self, server_id, events):
        super().__init__(server_id)
        self.events = events

    def render(self, request):
        result = super().render(request)
        if result is server.NOT_DONE_YET:
            self._send(request, 1, self.events)
        return result

    def _send(self, request, number, count):
        if request not in self.open_streams:
            return
        if number > count:
            self.open_streams.remove(request)
            request.finish()
            return
        request.write(f"id: {number}\ndata: piece {number}\n\n".encode())
        reactor.callLater(EVENT_INTERVAL_S, self._send, request, number + 1, count)


class SlowServer(BackendServerStandIn):
    """Answers each request after `WORK_S`."""

    WORK_S = 0.1

    def render(self, request):
        body = super().render(request)
        reactor.callLater(self.WORK_S, self._finish, request, body)
        return server.NOT_DONE_YET

    def _finish(self, request, body):
        if not request._disconnected:
            request.write(body)
            request.finish()
