"""A fake of the platform's metadata store: paged range reads, watches and fault injection.

It follows the platform's specification. Tests publish items; processes read and watch them.
"""

import base64
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs

import msgspec
import trio
from headcross_platform import names
from headcross_wire.httpserver import Exchange


class StoreCondition(Enum):
    """How the store responds to a caller."""

    WELL = "well"  # answers normally
    BUSY = "busy"  # answers 503
    LIMITED = "limited"  # answers 429
    RESET = "reset"  # closes the connection
    SILENT = "silent"  # never answers


@dataclass
class StoredItem:
    """A stored value with the revision of its last write."""

    value: bytes
    revision: int
    made: int  # revision of its creation


@dataclass
class FakePlatformStore:
    """The store; it keeps its state in memory, and every write increments its revision."""

    page_size: int = 500
    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0
    compacted_revision: int = 0  # the history up to this revision is discarded
    condition: StoreCondition = StoreCondition.WELL
    # Conditions that differ from `condition`, by the caller's IP address.
    condition_by_ip: dict[str, StoreCondition] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)  # by the caller's IP address and path
    _log: list[tuple[int, str]] = field(default_factory=list)  # revision and key of each change
    _changed: trio.Event = field(default_factory=trio.Event)

    def put(self, key: str, value: object) -> int:
        """Write an item, raw bytes as they are and all else as JSON; return the new revision."""
        body = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.revision += 1
        made = self.items[key].made if key in self.items else self.revision
        self.items[key] = StoredItem(body, self.revision, made)
        self._note(key)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._note(key)

    def forget_history(self) -> None:
        """Discard the history of changes; watches from older revisions get status 410."""
        self.compacted_revision = self.revision
        self._wake()

    def set_condition(self, condition: StoreCondition, ips: list[str] | None = None) -> None:
        """Set the condition that some callers see, or all if `ips` is None."""
        if ips is None:
            self.condition = condition
            self.condition_by_ip.clear()
        else:
            self.condition_by_ip.update(dict.fromkeys(ips, condition))
        self._wake()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one range read or watch."""
        path = exchange.request.path
        query = {k: v[0] for k, v in parse_qs(exchange.request.target.partition("?")[2]).items()}
        ip = exchange.peer_ip
        self.calls[f"{ip} {path}"] += 1
        if not await self._check_condition(exchange, ip):
            return
        if path == names.STORE_RANGE:
            await exchange.respond_json(200, self._range(query))
        elif path == names.STORE_WATCH:
            await self._watch(exchange, ip, query)
        else:
            await exchange.respond_json(404, {"error": "no such call"})

    async def _check_condition(self, exchange: Exchange, ip: str) -> bool:
        """Return whether a call is answered normally; otherwise respond as the condition says."""
        match self.condition_by_ip.get(ip, self.condition):
            case StoreCondition.WELL:
                return True
            case StoreCondition.BUSY:
                await exchange.respond_json(503, {"error": "busy"})
            case StoreCondition.LIMITED:
                await exchange.respond_json(429, {"error": "too many reads"})
            case StoreCondition.RESET:
                await exchange.abort()
            case StoreCondition.SILENT:
                await trio.sleep_forever()
        return False

    def _range(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["path_prefix"], query.get("after_rev", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self._show(key) for key in keys[: self.page_size]]
        return {"items": page, "more": len(keys) > self.page_size, "at": self.revision}

    async def _watch(self, exchange: Exchange, ip: str, query: dict[str, str]) -> None:
        prefix, after = query["path_prefix"], int(query["after_rev"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if (
                    after < self.compacted_revision
                    or self.condition_by_ip.get(ip, self.condition) is not StoreCondition.WELL
                ):
                    break
                if any(revision > after and key.startswith(prefix) for revision, key in self._log):
                    break
                await self._changed.wait()
        if self.condition_by_ip.get(ip, self.condition) is not StoreCondition.WELL:
            await self._check_condition(exchange, ip)
            return
        if after < self.compacted_revision:
            await exchange.respond_json(410, {"error": "history is gone"})
            return
        changed = {key for revision, key in self._log if revision > after}
        events = [self._show(key) for key in changed if key.startswith(prefix)]
        await exchange.respond_json(200, {"events": events, "at": self.revision})

    def _show(self, key: str) -> dict[str, object]:
        item = self.items.get(key)
        if item is None:
            revision = max(revision for revision, changed in self._log if changed == key)
            return {"key": key, "revision": revision, "gone": True}
        value = base64.b64encode(item.value).decode()
        return {
            "key": key,
            "value": value,
            "revision": item.revision,
            "made": item.made,
            "lease": 0,
        }

    def _note(self, key: str) -> None:
        self._log.append((self.revision, key))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
