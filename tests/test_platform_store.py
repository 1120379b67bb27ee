"""Tests calls to the metadata store: they fail when the store is silent, not when it is slow."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio
from headcross_base.addresses import Address
from headcross_base.errors import Failure, Ok
from headcross_platform import store
from headcross_platform.store import MetadataStore
from headcross_ports.published import Topic

# Number of parts of one answer, and the pause before each. The pause is far shorter than
# SILENCE_SECONDS, while the complete answer takes far longer.
PART_COUNT = 12
PAUSE_SECONDS = store.SILENCE_SECONDS / 6


@asynccontextmanager
async def slow_store(sent_parts: int) -> AsyncIterator[Address]:
    """Run a store that sends the first `sent_parts` parts of its answer and then nothing."""
    body = msgspec.json.encode({"items": [], "at": 7, "more": False})
    body += b" " * (PART_COUNT - len(body) % PART_COUNT)
    size = len(body) // PART_COUNT

    async def serve(stream: trio.SocketStream) -> None:
        await stream.receive_some(4096)
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        await stream.send_all(head)
        for number in range(sent_parts):
            await trio.sleep(PAUSE_SECONDS)
            await stream.send_all(body[number * size : (number + 1) * size])
        await trio.sleep_forever()

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        yield Address("127.0.0.1", listeners[0].socket.getsockname()[1])
        nursery.cancel_scope.cancel()


async def test_a_slow_listing_is_read_to_its_end() -> None:
    """Guards against a time limit on the whole answer.

    Complete answers took longer than 1.5 s when hundreds of hosts read over one link.
    """
    assert PART_COUNT * PAUSE_SECONDS > store.READ_SECONDS
    async with slow_store(PART_COUNT) as address:
        outcome = await MetadataStore(address).read(Topic.CONTROL)
        assert isinstance(outcome, Ok) and outcome.value.revision == 7


async def test_a_stalled_listing_fails() -> None:
    async with slow_store(PART_COUNT // 2) as address:
        with trio.fail_after(10 * store.SILENCE_SECONDS):
            outcome = await MetadataStore(address).read(Topic.CONTROL)
        assert isinstance(outcome, Failure)
