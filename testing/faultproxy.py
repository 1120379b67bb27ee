"""A TCP proxy that injects faults depending on the source of a connection.

Each proxy forwards to one listener of one daemon; the host list names the proxy's address. Since
every daemon sends from its own IP address, faults can be limited to single pairs of hosts.
"""

import random
from collections.abc import Callable
from typing import Literal

import trio
from headcross_base.addresses import Address

Fault = Literal["pass", "cut", "stall", "corrupt"]
BUFFER = 64 * 1024


class FaultProxy:
    """Forwards connections from one address to another."""

    def __init__(
        self, listen: Address, target: Address, fault_of: Callable[[str, str], Fault]
    ) -> None:
        self.listen = listen
        self.target = target
        self.forwarded_bytes = 0
        self._fault_of = fault_of  # by the IP addresses of source and target

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Listen and forward until cancelled."""
        listeners = await trio.open_tcp_listeners(self.listen.port, host=self.listen.ip)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, client: trio.SocketStream) -> None:
        source = client.socket.getpeername()[0]
        if self._fault(source) == "cut":
            await trio.aclose_forcefully(client)
            return
        try:
            target = await trio.open_tcp_stream(
                self.target.ip, self.target.port, local_address=source
            )
        except OSError:
            await trio.aclose_forcefully(client)
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_when_cut, source, nursery.cancel_scope)
                nursery.start_soon(self._copy, client, target, source)
                await self._copy(target, client, source)
                nursery.cancel_scope.cancel()
        finally:
            for stream in (client, target):
                await trio.aclose_forcefully(stream)

    async def _copy(self, source: trio.SocketStream, target: trio.SocketStream, name: str) -> None:
        try:
            while data := await source.receive_some(BUFFER):
                while self._fault(name) == "stall":
                    await trio.sleep(0.05)
                if self._fault(name) == "corrupt" and len(data) > 2048:
                    place = random.randrange(1024, len(data))
                    data = data[:place] + bytes([data[place] ^ 1]) + data[place + 1 :]
                self.forwarded_bytes += len(data)
                await target.send_all(data)
            await target.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _close_when_cut(self, name: str, scope: trio.CancelScope) -> None:
        while self._fault(name) != "cut":
            await trio.sleep(0.05)
        scope.cancel()

    def _fault(self, source: str) -> Fault:
        return self._fault_of(source, self.target.ip)
