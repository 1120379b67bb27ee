"""A proxy that can delay data to a replica and delivers it even after the caller's reset.

Connections from the replica's own host are forwarded without delay.
"""

from contextlib import suppress

import trio
from headcross_base.addresses import Address
from headcross_platform import names


class HeldLink:
    """A link to a replica that holds data on request and delivers it even after a reset."""

    def __init__(self, public: Address, private: Address) -> None:
        self.public = public
        self.connections = 0  # connections from other hosts so far
        self.held = 0  # bytes received while holding
        # Connections whose last bytes were a delivery proof; a request follows at once.
        self._proving: set[trio.SocketStream] = set()
        self._proof_followed = trio.Event()
        self._holds_behind_proof = False
        self._private = private
        self._released = trio.Event()
        self._released.set()

    async def open(self, nursery: trio.Nursery) -> None:
        """Listen at the public address until the nursery ends."""
        listeners = await trio.open_tcp_listeners(self.public.port, host=self.public.ip)
        nursery.start_soon(trio.serve_listeners, self._serve, listeners)

    def hold(self) -> None:
        """Hold data that arrives from now on."""
        self._released = trio.Event()

    async def hold_between_requests(self) -> None:
        """Begin to hold once no connection is between a delivery proof and its request."""
        while self._proving:
            self._proof_followed = trio.Event()
            await self._proof_followed.wait()
        self.hold()

    def hold_behind_next_proof(self) -> None:
        """Begin to hold at the next request that follows a delivery proof."""
        self._holds_behind_proof = True

    def release(self) -> None:
        """Deliver held data, and forward new data without delay."""
        self._released.set()

    async def _serve(self, caller: trio.SocketStream) -> None:
        try:
            caller_ip = caller.socket.getpeername()[0]
        except OSError:  # the caller has reset the connection, which carried nothing
            await trio.aclose_forcefully(caller)
            return
        target = await trio.open_tcp_stream(self._private.ip, self._private.port)
        if caller_ip == self.public.ip:
            await self._forward(caller, target)
            return
        self.connections += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, target, caller)
            with suppress(trio.BrokenResourceError):
                while data := await caller.receive_some():
                    self._note_proof(caller, data)
                    self.held += 0 if self._released.is_set() else len(data)
                    nursery.start_soon(self._deliver, target, data, self._released)
            self._note_proof(caller, b"")
            await self._released.wait()
            await trio.sleep(0.2)  # the replica gets the data before the connection closes
            nursery.cancel_scope.cancel()
        for stream in (caller, target):
            await trio.aclose_forcefully(stream)

    async def _forward(self, caller: trio.SocketStream, target: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, target, caller)
            await self._copy(caller, target)
            nursery.cancel_scope.cancel()
        for stream in (caller, target):
            await trio.aclose_forcefully(stream)

    def _note_proof(self, caller: trio.SocketStream, data: bytes) -> None:
        """Record whether the last bytes of a connection are a delivery proof."""
        if data.startswith(b"GET " + names.REPORT_PATH.encode()) and self._released.is_set():
            self._proving.add(caller)
            return
        if data and caller in self._proving and self._holds_behind_proof:
            self._holds_behind_proof = False
            self.hold()
        self._proving.discard(caller)
        self._proof_followed.set()

    @staticmethod
    async def _deliver(target: trio.SocketStream, data: bytes, released: trio.Event) -> None:
        await released.wait()
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await target.send_all(data)

    @staticmethod
    async def _copy(origin: trio.SocketStream, target: trio.SocketStream) -> None:
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await origin.receive_some():
                await target.send_all(data)
