"""Generates open-loop traffic of all kinds: the rate does not depend on the answers."""

import random
from dataclasses import dataclass, field
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_wire.httpclient import SOURCE_IP, HttpConnection

from bench.soak.badrequests import BadRequests
from bench.soak.exchange import Draft, exchange
from bench.soak.record import CallerRequest, RequestKind
from bench.soak.site import Site

KIND_WEIGHTS: Final = {
    RequestKind.REPEATABLE: 3,
    RequestKind.ONCE: 3,
    RequestKind.STREAM: 3,
    RequestKind.STRICT_STREAM: 2,
}
NEW_CONNECTION_SHARE: Final = 0.4  # requests on a new connection
LEAVING_SHARE: Final = 0.06  # callers that disconnect early
REPEATING_SHARE: Final = 0.15  # callers that repeat a failed request
BAD_SHARE: Final = 0.03  # malformed or invalid requests
MAX_REPEATS: Final = 2
MAX_FILLER_BYTES: Final = 4000
DEADLINE_SECONDS: Final = (1.5, 7.0)
LEAVING_SECONDS: Final = (0.0, 0.6)  # time after which a caller disconnects
# A caller gives up this long after its deadline; it must have been answered by then.
ANSWER_GRACE_SECONDS: Final = 3.0
MAX_KEPT_CONNECTIONS: Final = 12  # per entry
CONNECT_TIMEOUT_SECONDS: Final = 1.0  # the time that the platform's pages allow


@dataclass(frozen=True, slots=True)
class CallerLink:
    """A caller's connection and its local address, by which the proxy identifies it."""

    connection: HttpConnection
    own_end: tuple[str, int]


async def dial(address: Address) -> CallerLink | None:
    """Connect to an entry as a caller; return None on failure."""
    stream = None
    with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
        try:
            stream = await trio.open_tcp_stream(
                address.ip, address.port, local_address=SOURCE_IP.get()
            )
        except OSError:
            return None
    if stream is None:
        return None
    ip, port = stream.socket.getsockname()[:2]
    return CallerLink(HttpConnection(stream, address), (ip, port))


@dataclass
class Callers:
    """Sends the requests of all callers and records their answers."""

    site: Site
    generator: random.Random
    bad: BadRequests
    kept: dict[str, list[CallerLink]] = field(default_factory=dict)
    stopped: bool = False
    _count: int = 0

    async def run(self) -> None:
        """Send requests until `stopped` is set; return when the last one has ended."""
        rate = self.site.plan.requests_per_second
        async with trio.open_nursery() as nursery:
            while not self.stopped:
                await trio.sleep(self.generator.expovariate(rate))
                if self.generator.random() < BAD_SHARE:
                    entry = self._pick(list(self.site.ready))
                    if entry is not None:
                        nursery.start_soon(self.bad.send, self.site.machines.callers(entry))
                    continue
                nursery.start_soon(self._call, self._draw_request(), 0)

    def _draw_request(self) -> Draft:
        generator = self.generator
        self._count += 1
        (kind,) = generator.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))
        leaves = generator.random() < LEAVING_SHARE
        leaves_after = generator.uniform(*LEAVING_SECONDS)
        return Draft(
            id=f"q{self._count:06d}-{generator.getrandbits(32):08x}",
            kind=kind,
            filler=generator.randrange(MAX_FILLER_BYTES),
            deadline_seconds=generator.uniform(*DEADLINE_SECONDS),
            leaves_after=leaves_after if leaves else None,
            leaves_by_reset=generator.random() < 0.5,
            repeats=generator.random() < REPEATING_SHARE,
            fresh=generator.random() < NEW_CONNECTION_SHARE,
        )

    async def _call(self, draft: Draft, repeats: int) -> None:
        connected = await self._connect(draft)
        if connected is None:
            return
        entry, link = connected
        request = draft.to_record(entry)
        self.site.record.requests[draft.id] = request
        await self._exchange(draft, request, link)
        request.ended_at = trio.current_time()
        # Nothing was read from a connection that the entry never accepted.
        if link.own_end in self.site.links.refused:
            request.written = False
        await self._return_connection(entry, link, draft, request)
        failed = not 200 <= request.status < 300 and not request.caller_left
        if draft.repeats and failed and repeats < MAX_REPEATS:
            await self._call(self._repeat(draft), repeats + 1)

    async def _exchange(self, draft: Draft, request: CallerRequest, link: CallerLink) -> None:
        timeout_seconds = draft.leaves_after
        if timeout_seconds is None:
            timeout_seconds = draft.deadline_seconds + ANSWER_GRACE_SECONDS
        with trio.move_on_after(timeout_seconds) as scope:
            await exchange(link.connection, draft, request)
        request.caller_left = draft.leaves_after is not None and scope.cancelled_caught

    def _repeat(self, draft: Draft) -> Draft:
        self._count += 1
        new_id = f"q{self._count:06d}-{self.generator.getrandbits(32):08x}"
        return Draft(
            new_id,
            draft.kind,
            draft.filler,
            draft.deadline_seconds,
            None,
            draft.leaves_by_reset,
            draft.repeats,
            draft.fresh,
        )

    async def _connect(self, draft: Draft) -> tuple[str, CallerLink] | None:
        """Return an idle kept connection to any entry, or a new one to a ready entry."""
        if not draft.fresh:
            entry = self._pick([name for name, kept in self.kept.items() if kept])
            while entry is not None and self.kept[entry]:
                link = self.kept[entry].pop()
                if link.connection.has_no_input():
                    return entry, link
                await link.connection.close()
        entry = self._pick(list(self.site.ready) or self.site.running_entries())
        if entry is None:
            return None
        new_link = await dial(self.site.machines.callers(entry))
        return None if new_link is None else (entry, new_link)

    async def _return_connection(
        self, entry: str, link: CallerLink, draft: Draft, request: CallerRequest
    ) -> None:
        kept = self.kept.setdefault(entry, [])
        if request.whole and len(kept) < MAX_KEPT_CONNECTIONS and link.connection.reusable():
            kept.append(link)
        elif draft.leaves_by_reset:
            await link.connection.abandon()
        else:
            await link.connection.close()

    def _pick(self, entries: list[str]) -> str | None:
        return self.generator.choice(sorted(entries)) if entries else None
