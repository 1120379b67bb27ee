"""A fake plain service that echoes requests and records their ids."""

import trio
from headcross_wire.httpexchange import Exchange


class FakePlainService:
    """One upstream of a plain service."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[str] = []  # ids of requests that ran
        self.bodies: list[bytes] = []  # their bodies
        self.answer_seconds = 0.0

    async def handle(self, exchange: Exchange) -> None:
        """Answer with the request's body, or with its target if there is none."""
        request = exchange.request
        self.runs.append(request.header("headcross-request") or "")
        self.bodies.append(request.body)
        await trio.sleep(self.answer_seconds)
        headers = [("content-type", "text/plain"), ("x-served-by", self.name)]
        await exchange.respond(200, headers, request.body or request.target.encode())
