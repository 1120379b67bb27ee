"""Serves the administration API: read-only, versioned, on a separate address.

It shows the process's state, metrics, health, the documents in force and the decisions with their
reasons. The command-line tool `headcross` uses no other interface. The API changes nothing:
operators make changes by publishing the next fleet file.
"""

import logging
from collections.abc import Callable
from typing import Final

import msgspec
from headcross_base.version import ADMIN_API, VERSION
from headcross_native.configservice import FLEET_KEY, HOSTS_KEY
from headcross_wire.httpexchange import Exchange

from headcross_daemon.process import Process

MAX_ADMIN_BODY_BYTES: Final = 1024
TEAM_PREFIX: Final = f"/{ADMIN_API}/teams/"

logger = logging.getLogger(__name__)

Dump = Callable[[], dict[str, object]]
RenderMetrics = Callable[[], bytes]


class AdminApi:
    """Handles requests to the administration address.

    The callables supply the content of the pages; `team_summary` returns None for an unknown team.
    """

    def __init__(
        self,
        process: Process,
        dump: Dump,
        upstreams: Callable[[], list[dict[str, object]]],
        team_summary: Callable[[str], dict[str, object] | None],
        metrics: RenderMetrics,
    ) -> None:
        self._process = process
        self._dump = dump
        self._upstreams = upstreams
        self._team_summary = team_summary
        self._metrics = metrics

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        request = exchange.request
        if request.method != "GET":
            await exchange.respond_json(405, {"error": "read-only"}, [("allow", "GET")])
            return
        if request.path.startswith(TEAM_PREFIX):
            await self._show_team(exchange, request.path.removeprefix(TEAM_PREFIX))
            return
        match request.path.removeprefix(f"/{ADMIN_API}"):
            case "/state":
                await exchange.respond_json(200, {"version": VERSION, **self._dump()})
            case "/health":
                await self._show_health(exchange)
            case "/metrics":
                body = self._metrics()
                await exchange.respond(200, [("content-type", "text/plain; version=0.0.4")], body)
            case "/fleet":
                await self._show_document(exchange, FLEET_KEY, "application/toml")
            case "/hosts":
                await self._show_document(exchange, HOSTS_KEY, "application/json")
            case "/decisions":
                decisions = self._process.journal.entries()
                await exchange.respond_json(200, {"decisions": msgspec.to_builtins(decisions)})
            case "/upstreams":
                await exchange.respond_json(200, {"upstreams": self._upstreams()})
            case _:
                await exchange.respond_json(404, {"error": "no such page", "api": ADMIN_API})

    async def _show_health(self, exchange: Exchange) -> None:
        reason = self._process.unhealthy_reason
        await exchange.respond_json(503 if reason else 200, {"healthy": not reason, "why": reason})

    async def _show_document(self, exchange: Exchange, key: str, content_type: str) -> None:
        held = self._process.documents.held(key)
        headers = [
            ("content-type", content_type),
            ("revision", str(held.accepted_revision)),
            ("digest", held.accepted_digest),
        ]
        await exchange.respond(200, headers, held.accepted_body)

    async def _show_team(self, exchange: Exchange, team: str) -> None:
        summary = self._team_summary(team)
        if summary is None:
            await exchange.respond_json(404, {"error": "no such team"})
            return
        await exchange.respond_json(200, summary)
