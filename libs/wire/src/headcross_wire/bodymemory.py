"""Bounds the memory that the bodies of all requests, or of all answers, take at a time.

A request is refused, before its body is read, if there is no room for it; a small one finds room
longer than a large one. An answer cannot be refused, as its request has run: if there is no room
for the next piece, the largest body that is being received is given up, whoever sends it. So a
peer that sends without end costs others nothing.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

import trio
from headcross_base.units import KIB

# Larger bodies may use only this share of the memory.
SMALL_BODY_BYTES: Final = 64 * KIB
LARGE_BODIES_SHARE: Final = 0.8
# A request waits so long for room. Callers may give up an unread request after a second.
ROOM_SECONDS: Final = 0.5


class RequestMemory:
    """The memory for the bodies of the requests of one server."""

    # Bytes of all bodies that are read or answered now.
    held_bytes: int
    # Number of requests that found no room.
    refused: int

    def __init__(self, limit_bytes: float) -> None:
        self.held_bytes = 0
        self.refused = 0
        self._limit_bytes = limit_bytes
        self._released = trio.Event()

    async def reserve(self, count: int) -> bool:
        """Reserve room for a body or a part of one; return False if there is none in time."""
        limit = self._limit_bytes * (1.0 if count <= SMALL_BODY_BYTES else LARGE_BODIES_SHARE)
        with trio.move_on_after(ROOM_SECONDS):
            # One body alone finds room, however large the configuration allows it to be.
            while self.held_bytes and self.held_bytes + count > limit:
                await self._released.wait()
            self.held_bytes += count
            return True
        self.refused += 1
        return False

    def release(self, count: int) -> None:
        """Give room back."""
        self.held_bytes -= count
        self._released.set()
        self._released = trio.Event()


class HeldAnswer:
    """The body of one answer, whole or in part."""

    # Bytes of the body that are held now.
    size: int
    # Whether it was given up for lack of room.
    given_up: bool

    def __init__(self) -> None:
        self.size = 0
        self.given_up = False
        # Ends the reception of the body; None unless it is being received.
        self.give_up: Callable[[], None] | None = None


class AnswerMemory:
    """The memory for the bodies of the answers that one process forwards."""

    # Bytes of all bodies that are received or forwarded now.
    held_bytes: int
    # Number of bodies that were given up for lack of room.
    given_up: int

    def __init__(self, limit_bytes: float) -> None:
        self.held_bytes = 0
        self.given_up = 0
        self._limit_bytes = limit_bytes
        self._receiving: set[HeldAnswer] = set()

    @contextmanager
    def receiving(self, held: HeldAnswer, give_up: Callable[[], None]) -> Iterator[None]:
        """Account a body while it is received; what was received is still held afterwards.

        `give_up` is called if the body has to make room for others.
        """
        held.given_up = False
        self.resize(held, 0)
        held.give_up = give_up
        self._receiving.add(held)
        try:
            yield
        finally:
            self._end(held)

    def resize(self, held: HeldAnswer, size: int) -> None:
        """Record how large a body is now; give up the largest ones if there is no room."""
        if held.given_up:
            return
        self.held_bytes += size - held.size
        held.size = size
        while self.held_bytes > self._limit_bytes and self._receiving:
            self._give_up(max(self._receiving, key=lambda receiving: receiving.size))

    def release(self, held: HeldAnswer) -> None:
        """Record that a body is not held any more."""
        self._end(held)
        self.resize(held, 0)

    def _end(self, held: HeldAnswer) -> None:
        held.give_up = None
        self._receiving.discard(held)

    def _give_up(self, largest: HeldAnswer) -> None:
        give_up = largest.give_up
        self._end(largest)
        self.held_bytes -= largest.size
        largest.size = 0
        largest.given_up = True
        self.given_up += 1
        if give_up is not None:
            give_up()
