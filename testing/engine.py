"""A fake model engine that loads weights from its daemon, streams tokens and records requests.

A token is a function of (weights digest, prompt, index). A caller can therefore check that all of
an answer came from one version, and that a resumed answer continues where it was cut.
"""

import contextlib
import hashlib
from dataclasses import dataclass

import msgspec
import trio
from headcross_base.addresses import parse_address
from headcross_base.errors import Failure
from headcross_base.hashing import digest_of
from headcross_native.engine import EngineState, Fence, Order, WeightsOrder, serving_digest
from headcross_wire.httpclient import call
from headcross_wire.httpexchange import CallerGone, Exchange

MAX_BYTES = 256 * 1024 * 1024


@dataclass
class Run:
    """A request that the engine ran."""

    request: str
    prompt: str
    first_token: int
    finished: bool = False


class Generate(msgspec.Struct):
    """The body of a request to a model."""

    prompt: str
    max_tokens: int = 4
    stream: bool = True


def token(digest: str, prompt: str, index: int) -> str:
    """Return the token at an index of an answer."""
    text = f"{digest} {prompt} {index}".encode()
    return f"{digest[:8]}.{index}.{hashlib.blake2b(text, digest_size=4).hexdigest()}"


class FakeEngine:
    """An engine; its attributes configure delays, capacity and faults."""

    def __init__(self, checks_fences: bool = True) -> None:
        self.checks_fences = checks_fences
        self.fence = Fence(0, 0, 0)
        self.loaded: list[WeightsOrder] = []
        self.loading = False
        self.error = ""
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.running = 0  # requests that are running or wait for a slot
        self.token_seconds = 0.005
        self.load_seconds = 0.2
        self.report_digest: str | None = None  # digest to report instead of the loaded one
        self.break_after: int | None = None  # cuts the next stream after this many tokens
        self.cancelled = 0  # requests that did not run to their end
        self.down = False
        self.order_answer_seconds = 0.0  # delay of the answer to an order
        self.verifies_chunks = True  # fetches and verifies all chunks, not only the manifest
        # Capacity: concurrent requests, and the cost of a prompt whose prefix is not cached.
        self.slots = trio.CapacityLimiter(10_000)
        self.prefill_seconds = 0.0
        self.cached_prefixes = 0  # capacity of the prefix cache
        self.prefix_hits = 0
        self._prefixes: dict[str, None] = {}
        self._loads = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request for the state, an order or a generation."""
        if self.down:
            await exchange.respond(500, [], b"down")
            return
        match exchange.request.path:
            case "/v1/state":
                await exchange.respond_json(200, self._state())
            case "/v1/orders":
                await self._take_order(exchange)
            case _:
                await self._generate(exchange)

    def _state(self) -> EngineState:
        loaded = self.loaded
        if self.report_digest is not None and loaded:
            loaded = [WeightsOrder(loaded[0].name, self.report_digest)]
        return EngineState(
            loaded=loaded,
            loading=self.loading,
            error=self.error,
            fence=self.fence,
            checks_fences=self.checks_fences,
            load=min(1.0, self.running / 8),
            load_age=0.5,
            running=self.running,
        )

    async def _take_order(self, exchange: Exchange) -> None:
        order = msgspec.json.decode(exchange.request.body, type=Order)
        if self.checks_fences and order.fence <= self.fence:
            await exchange.respond(409, [], b"fence too low")
            return
        self.fence = max(self.fence, order.fence)
        self.orders.append(order)
        self._loads += 1
        self.loading = True
        self.loaded = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._load, order, self._loads)
            await trio.sleep(self.order_answer_seconds)
            with contextlib.suppress(CallerGone):
                await exchange.respond(202, [], b"")

    async def _load(self, order: Order, number: int) -> None:
        """Fetch the weights of an order and load them unless a later order was accepted meanwhile.

        `number` is the order's count among all orders accepted.
        """
        self.error = ""
        loaded: list[WeightsOrder] = []
        for weights in order.weights:
            digest = await self._fetch(order.source, weights.digest)
            if digest is not None:
                loaded.append(WeightsOrder(weights.name, digest))
        await trio.sleep(self.load_seconds if order.weights else 0)
        if number == self._loads:
            self.loaded, self.loading = loaded, False

    async def _fetch(self, source: str, artifact: str) -> str | None:
        """Fetch and verify an artifact; return its manifest's digest, or None on failure."""
        manifest = await self._get(source, f"/artifacts/{artifact}/manifest.json")
        if manifest is None:
            return None
        if not self.verifies_chunks:
            return digest_of(manifest)
        for file in msgspec.json.decode(manifest)["files"]:
            for chunk in file["chunks"]:
                data = await self._get(source, f"/artifacts/{artifact}/chunks/{chunk}")
                if data is None or digest_of(data) != chunk:
                    self.error = f"chunk {chunk[:8]} is not what it should be"
                    return None
        return digest_of(manifest)

    async def _get(self, source: str, path: str) -> bytes | None:
        outcome = await call(parse_address(source), "GET", path, seconds=30, max_bytes=MAX_BYTES)
        if isinstance(outcome, Failure) or outcome.value.status != 200:
            self.error = f"cannot fetch {path}"
            return None
        return outcome.value.body

    async def _generate(self, exchange: Exchange) -> None:
        request = exchange.request
        digest = self.loaded[0].digest if self.loaded else ""
        loaded_digest = serving_digest([w.digest for w in self.loaded]) if self.loaded else ""
        if request.header("if-match") != f'"{loaded_digest}"':
            await exchange.respond(412, [], b"")
            return
        parameters = msgspec.json.decode(request.body, type=Generate)
        first = int(request.header("resume-from") or "0")
        run = Run(request.header("headcross-request") or "", parameters.prompt, first)
        self.runs.append(run)
        self.running += 1
        try:
            async with self.slots:
                await self._prefill(parameters.prompt)
                await self._answer(exchange, parameters, digest, first)
            run.finished = True
        finally:
            self.running -= 1
            self.cancelled += not run.finished

    async def _prefill(self, prompt: str) -> None:
        """Sleep for the prefill time, unless the prefix (the part before a colon) is cached."""
        prefix = prompt.partition(":")[0]
        if prefix in self._prefixes:
            self.prefix_hits += 1
            del self._prefixes[prefix]
        else:
            await trio.sleep(self.prefill_seconds)
        self._prefixes[prefix] = None
        while len(self._prefixes) > self.cached_prefixes:
            del self._prefixes[next(iter(self._prefixes))]

    async def _answer(
        self, exchange: Exchange, parameters: Generate, digest: str, first: int
    ) -> None:
        if not parameters.stream:
            await trio.sleep(self.token_seconds * parameters.max_tokens)
            tokens = [token(digest, parameters.prompt, i) for i in range(parameters.max_tokens)]
            await exchange.respond_json(200, {"tokens": tokens})
            return
        await exchange.start(200, [("content-type", "text/event-stream")])
        for index in range(first, parameters.max_tokens):
            if self.break_after is not None and index - first >= self.break_after:
                self.break_after = None
                raise CallerGone("stream cut by fault injection (break_after)")
            await trio.sleep(self.token_seconds)
            text = token(digest, parameters.prompt, index)
            await exchange.send(f"id: {index}\ndata: {text}\n\n".encode())
        await exchange.send(b"data: [DONE]\n\n")
        await exchange.finish()
