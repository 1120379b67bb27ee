"""A host of a baseline run: fetches all chunks in order from one source and serves them.

    python -m bench.baselinehost SOURCE LISTEN CHUNKS CHUNK_BYTES RATE

SOURCE is the origin (every host fetches from the origin) or the previous host (a chain). The
process prints one line when it holds all chunks and then serves until it is killed.
"""

import sys

import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.errors import Ok
from headcross_wire.httpclient import SOURCE_IP, call
from headcross_wire.httpexchange import Exchange
from headcross_wire.httprequest import ServerLimits
from headcross_wire.httpserver import HttpServer
from headcross_wire.linkrate import LinkRate

MAX_CONCURRENT_FETCHES = 4
RETRY_DELAY_SECONDS = 0.02
CALL_TIMEOUT_SECONDS = 120.0


class BaselineHost:
    """Fetches and serves chunks, both limited to the rate of its link."""

    def __init__(self, source: Address, chunks: int, chunk_bytes: int, rate: float) -> None:
        self.source = source
        self.chunk_bytes = chunk_bytes
        self.chunks: list[bytes | None] = [None] * chunks
        self.pending = list(reversed(range(chunks)))
        self.uplink = LinkRate(rate, 64 * 1024)
        self.downlink = LinkRate(rate, 64 * 1024)

    async def handle(self, exchange: Exchange) -> None:
        """Serve one chunk as the origin does; answer 503 while the chunk is missing."""
        requested_range = (exchange.request.header("range") or "").removeprefix("bytes=")
        data = self.chunks[int(requested_range.partition("-")[0]) // self.chunk_bytes]
        if data is None:
            await exchange.respond(503, [], b"")
            return
        await self.uplink.take(len(data))
        await exchange.respond(206, [], data)

    async def fetch(self) -> None:
        """Fetch all chunks in order, up to MAX_CONCURRENT_FETCHES at a time."""
        async with trio.open_nursery() as nursery:
            for _ in range(MAX_CONCURRENT_FETCHES):
                nursery.start_soon(self._fetch_pending)

    async def _fetch_pending(self) -> None:
        while self.pending:
            index = self.pending.pop()
            await self.downlink.take(self.chunk_bytes)
            while self.chunks[index] is None:
                await self._fetch_chunk(index)

    async def _fetch_chunk(self, index: int) -> None:
        first = index * self.chunk_bytes
        headers = [("range", f"bytes={first}-{first + self.chunk_bytes - 1}")]
        outcome = await call(
            self.source,
            "GET",
            "/weights/m-v1/files/weights.bin",
            headers=headers,
            seconds=CALL_TIMEOUT_SECONDS,
            max_bytes=self.chunk_bytes,
        )
        if isinstance(outcome, Ok) and outcome.value.status == 206:
            self.chunks[index] = outcome.value.body
        else:
            await trio.sleep(RETRY_DELAY_SECONDS)


async def run(source: str, listen: str, chunks: int, chunk_bytes: int, rate: float) -> None:
    """Serve while fetching, print a line when all chunks are held, and go on serving."""
    address = parse_address(listen)
    SOURCE_IP.set(address.ip)
    host = BaselineHost(parse_address(source), chunks, chunk_bytes, rate)
    server = HttpServer(host.handle, ServerLimits())
    listeners, _ = await server.listen(address)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve, listeners)
        await host.fetch()
        print("done", flush=True)


if __name__ == "__main__":
    trio.run(run, sys.argv[1], sys.argv[2], int(sys.argv[3]), int(sys.argv[4]), float(sys.argv[5]))
