"""A TCP proxy that injects faults depending on the source and target of a connection.

Each proxy forwards to one listener of one daemon; the host list names the proxy's address. Since
every daemon sends from its own IP address, faults can be limited to single pairs of hosts.
"""

import random
from collections.abc import Callable
from typing import Literal

import trio
from headcross_base.addresses import Address

Fault = Literal["pass", "cut", "stall", "corrupt"]
BUFFER_BYTES = 64 * 1024


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
        source_ip = client.socket.getpeername()[0]
        if self._fault(source_ip) == "cut":
            await trio.aclose_forcefully(client)
            return
        try:
            target = await trio.open_tcp_stream(
                self.target.ip, self.target.port, local_address=source_ip
            )
        except OSError:
            await trio.aclose_forcefully(client)
            return
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._close_when_cut, source_ip, nursery.cancel_scope)
                nursery.start_soon(self._copy, client, target, source_ip)
                await self._copy(target, client, source_ip)
                nursery.cancel_scope.cancel()
        finally:
            for stream in (client, target):
                await trio.aclose_forcefully(stream)

    async def _copy(
        self, reader: trio.SocketStream, writer: trio.SocketStream, source_ip: str
    ) -> None:
        try:
            while data := await reader.receive_some(BUFFER_BYTES):
                while self._fault(source_ip) == "stall":
                    await trio.sleep(0.05)
                if self._fault(source_ip) == "corrupt" and len(data) > 2048:
                    offset = random.randrange(1024, len(data))
                    data = data[:offset] + bytes([data[offset] ^ 1]) + data[offset + 1 :]
                self.forwarded_bytes += len(data)
                await writer.send_all(data)
            await writer.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def _close_when_cut(self, source_ip: str, scope: trio.CancelScope) -> None:
        """Cancel the scope of a connection once the fault between its ends is a cut."""
        while self._fault(source_ip) != "cut":
            await trio.sleep(0.05)
        scope.cancel()

    def _fault(self, source_ip: str) -> Fault:
        return self._fault_of(source_ip, self.target.ip)
