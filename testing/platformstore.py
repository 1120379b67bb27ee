"""A fake of the platform's metadata store: paged range reads, watches and fault injection.

It follows the platform's specification. Tests publish items; processes read and watch them. The
store can be restored from an older copy of itself, which loses its newest writes.
"""

import base64
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs

import msgspec
import trio
from headcross_platform import names
from headcross_wire.httpexchange import Exchange

from testing.rawhttp import add_fields


class StoreCondition(Enum):
    """How the store responds to a caller."""

    WELL = "well"  # answers normally
    BUSY = "busy"  # answers 503
    LIMITED = "limited"  # answers 429
    RESET = "reset"  # closes the connection
    SILENT = "silent"  # never answers


@dataclass(frozen=True)
class StoredItem:
    """A stored value with the revision of its last write."""

    value: bytes
    revision: int
    made: int  # revision of its creation


@dataclass(frozen=True)
class Change:
    """One change of an item."""

    at: float  # trio's time
    revision: int
    key: str
    item: StoredItem | None  # None if it was removed


@dataclass
class FakePlatformStore:
    """The store; it keeps its state in memory, and every write increments its revision."""

    page_size: int = 500
    items: dict[str, StoredItem] = field(default_factory=dict)
    revision: int = 0
    compacted_revision: int = 0  # the history up to this revision is discarded
    era: int = 1  # the number of the current era; increases with every restore
    # The era header of answers; None for `era`. An empty one is not sent.
    era_header: str | None = None
    # Era headers of the next answer to a caller, by its IP address.
    wrong_eras: dict[str, str] = field(default_factory=dict)
    # Fields that are added to items in answers, by key, encoded as JSON; of any form.
    item_fields: dict[str, bytes] = field(default_factory=dict)
    condition: StoreCondition = StoreCondition.WELL
    # Conditions that differ from `condition`, by the caller's IP address.
    condition_by_ip: dict[str, StoreCondition] = field(default_factory=dict)
    calls: Counter[str] = field(default_factory=Counter)  # by the caller's IP address and path
    _log: list[Change] = field(default_factory=list)
    _changed: trio.Event = field(default_factory=trio.Event)

    def put(self, key: str, value: object) -> int:
        """Write an item, raw bytes as they are and all else as JSON; return the new revision."""
        body = encode_value(value)
        self.revision += 1
        made = self.items[key].made if key in self.items else self.revision
        self.items[key] = StoredItem(body, self.revision, made)
        self._note(key)
        return self.revision

    def holds(self, key: str, value: object) -> bool:
        """Return whether an item has a value."""
        item = self.items.get(key)
        return item is not None and item.value == encode_value(value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        self.items.pop(key, None)
        self._note(key)

    def forget_history(self) -> None:
        """Discard the history of changes; watches from older revisions get status 410."""
        self.compacted_revision = self.revision
        self._wake()

    def restore(self, revision: int) -> None:
        """Go back to the copy taken at a revision; watches from later ones get status 410."""
        self._log = [change for change in self._log if change.revision <= revision]
        self.items = {}
        for change in self._log:
            if change.item is None:
                self.items.pop(change.key, None)
            else:
                self.items[change.key] = change.item
        self.revision = revision
        self.compacted_revision = min(self.compacted_revision, revision)
        self.era += 1
        self._wake()

    def revision_before(self, seconds: float) -> int:
        """Return the revision that the store had some seconds ago."""
        limit = trio.current_time() - seconds
        return max((change.revision for change in self._log if change.at <= limit), default=0)

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
            await self._respond(exchange, 200, self._range(query))
        elif path == names.STORE_WATCH:
            await self._watch(exchange, ip, query)
        else:
            await self._respond(exchange, 404, {"error": "no such call"})

    async def _respond(self, exchange: Exchange, status: int, value: object) -> None:
        era = str(self.era) if self.era_header is None else self.era_header
        era = self.wrong_eras.pop(exchange.peer_ip, era)
        headers = [(names.STORE_ERA, era)] if era else []
        await exchange.respond_json(status, value, headers)

    async def _check_condition(self, exchange: Exchange, ip: str) -> bool:
        """Return whether a call is answered normally; otherwise respond as the condition says."""
        match self.condition_by_ip.get(ip, self.condition):
            case StoreCondition.WELL:
                return True
            case StoreCondition.BUSY:
                await self._respond(exchange, 503, {"error": "busy"})
            case StoreCondition.LIMITED:
                await self._respond(exchange, 429, {"error": "too many reads"})
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
                    not self._has_history_since(after)
                    or self.condition_by_ip.get(ip, self.condition) is not StoreCondition.WELL
                ):
                    break
                if self._changed_since(after, prefix):
                    break
                await self._changed.wait()
        if self.condition_by_ip.get(ip, self.condition) is not StoreCondition.WELL:
            await self._check_condition(exchange, ip)
            return
        if not self._has_history_since(after):
            await self._respond(exchange, 410, {"error": "history is gone"})
            return
        events = [self._show(key) for key in self._changed_since(after, prefix)]
        await self._respond(exchange, 200, {"events": events, "at": self.revision})

    def _has_history_since(self, revision: int) -> bool:
        return self.compacted_revision <= revision <= self.revision

    def _changed_since(self, revision: int, prefix: str) -> set[str]:
        """Return the keys with a prefix that changed after a revision."""
        return {c.key for c in self._log if c.revision > revision and c.key.startswith(prefix)}

    def _show(self, key: str) -> msgspec.Raw:
        shown = msgspec.json.encode(self._describe(key))
        return msgspec.Raw(add_fields(shown, self.item_fields.get(key, b"")))

    def _describe(self, key: str) -> dict[str, object]:
        item = self.items.get(key)
        if item is None:
            revision = max(change.revision for change in self._log if change.key == key)
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
        self._log.append(Change(trio.current_time(), self.revision, key, self.items.get(key)))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def encode_value(value: object) -> bytes:
    """Return the bytes of a value: raw bytes as they are, all else as JSON."""
    return value if isinstance(value, bytes) else msgspec.json.encode(value)
