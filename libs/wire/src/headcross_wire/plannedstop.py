"""Stops a server as planned: everyone who could connect is answered before the process ends.

Both roles of both protocols stop their listeners here, so that the rules stand once:

1. Connections are still accepted for a while; answers ask callers to use no connection again.
2. The listener is closed, after all established connections were accepted.
3. Requests on open connections are run while `latearrivals` allows it, and refused as not run
   afterwards. The stop waits for running ones, and for connections that had no request yet.
4. What was not read completely is refused as not run.

Nothing else is closed while the process lives. A process that was frozen takes the same steps
later, and the last ones even if its time is up.
"""

import logging
from typing import Final

import trio

from headcross_wire.httpserver import HttpServer

# How long the last refusals may take; part of the time of the stop.
LAST_REFUSALS_SECONDS: Final = 0.2

logger = logging.getLogger(__name__)


async def stop_server(server: HttpServer, *, accept_until: float, end: float) -> None:
    """Stop a server; both moments are on trio's clock.

    Connections are accepted until `accept_until`. Requests that still run shortly before `end` are
    left to the caller of this function, which ends the process.
    """
    server.announce_close()
    drain_until = end - LAST_REFUSALS_SECONDS
    await trio.sleep_until(min(accept_until, drain_until))
    await _stop_accepting(server, drain_until)
    refused = 0
    with trio.move_on_at(drain_until):
        await server.wait_quiet()
        while unread := await server.refuse_unread():
            refused += unread
            await server.wait_quiet()
    with trio.move_on_after(LAST_REFUSALS_SECONDS):
        refused += await server.refuse_unread()
        await server.wait_quiet()
    fields = {"refused_unread": refused, "refused_late": server.refused_late}
    logger.info("server stopped", extra={**fields, "connections": server.connections})


async def _stop_accepting(server: HttpServer, until: float) -> None:
    """Stop accepting, for the time of the last refusals at least."""
    waiting = -1  # some could not be accepted
    with trio.move_on_at(max(until, trio.current_time() + LAST_REFUSALS_SECONDS)):
        waiting = await server.stop_accepting()
    fields = {"waiting": waiting, "connections": server.connections}
    logger.info("accepting ended", extra=fields)
