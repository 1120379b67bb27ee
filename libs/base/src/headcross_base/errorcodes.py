"""The table of all error kinds.

Each kind has a stable code for programs, a text for callers, the HTTP status of the answer to the
caller and a meaning for the operators' guide. Each code is defined once, here, and used by name.

>>> ERROR_CODES["no-replica"].status
503
"""

from dataclasses import dataclass
from typing import Final

# All error kinds by code; filled by `_define` at import and not changed afterwards.
ERROR_CODES: Final[dict[str, "ErrorCode"]] = {}


@dataclass(frozen=True, slots=True)
class ErrorCode:
    """One kind of error."""

    code: str  # stable name, lower case with hyphens
    text: str  # one sentence for the caller
    status: int  # HTTP status of the answer to the caller; 0 if callers never get this kind
    meaning: str  # likely cause or remedy, for operators


def _define(code: str, status: int, text: str, meaning: str) -> ErrorCode:
    if code in ERROR_CODES:
        raise ValueError(f"error code {code} is defined twice")
    kind = ErrorCode(code, text, status, meaning)
    ERROR_CODES[code] = kind
    return kind


# Errors of the caller.
BAD_REQUEST: Final = _define(
    "bad-request", 400, "The request is malformed.", "A caller sent HTTP that breaks the standard."
)
BODY_TOO_LARGE: Final = _define(
    "body-too-large",
    413,
    "The request body is too large.",
    "Raise max_body_bytes if it is wanted.",
)
HEADERS_TOO_LARGE: Final = _define(
    "headers-too-large",
    431,
    "The request headers are too large.",
    "A caller or a probe misbehaves.",
)
REQUEST_TIMEOUT: Final = _define(
    "request-timeout", 408, "The request did not arrive in time.", "A slow or stuck caller."
)
NO_ROUTE: Final = _define(
    "no-route", 404, "No route has this path.", "The fleet file in force has no such route."
)
UNKNOWN_TEAM: Final = _define(
    "unknown-team", 403, "No such team.", "The caller's team is not in the fleet file in force."
)

UNKNOWN_KEY: Final = _define(
    "unknown-key", 401, "No team holds this key.", "The key is not in the configuration in force."
)

# Refusals that guarantee that the request was not run.
TEAM_LIMIT: Final = _define(
    "team-limit", 429, "The team is at its limit.", "The team sends more than its share."
)
ENDS_REPLICAS: Final = _define(
    "ends-replicas",
    429,
    "Replicas ended while they ran this same request, or others like it; it is not run for now.",
    "Replicas ended under the same path, key and body, or under a part of its prompt.",
)
NO_ROOM: Final = _define(
    "no-room", 503, "Every replica is at work.", "The service is overloaded, or replicas are away."
)
UNREACHED: Final = _define(
    "unreached",
    503,
    "No replica could be reached.",
    "Replicas or links are down; see the attempts.",
)
NO_RUN_IN_TIME: Final = _define(
    "no-run-in-time", 503, "No replica took the request in time.", "See the request's attempts."
)
QUEUE_FULL: Final = _define(
    "queue-full", 503, "The upstream's queue is full.", "The pool is overloaded."
)
NO_REPLICA: Final = _define(
    "no-replica", 503, "No replica serves this route.", "The pool has no serving upstream in view."
)
LEAVING: Final = _define(
    "leaving", 503, "The upstream is leaving.", "Ordinary in a rollout; retried elsewhere."
)
NOT_SERVING: Final = _define(
    "not-serving", 503, "The upstream does not serve this now.", "The entry's news were old."
)
DRAINING: Final = _define(
    "draining", 503, "This process is stopping.", "A planned stop of an entry or a daemon."
)
TOO_MANY_CONNECTIONS: Final = _define(
    "too-many-connections",
    503,
    "This process has too many connections.",
    "Callers keep more connections than limits.max_connections; add entries or raise it.",
)
NO_MEMORY: Final = _define(
    "no-memory",
    503,
    "This process holds too many large requests.",
    "Many callers send large bodies at once; add entries or memory, or lower the limit on bodies.",
)
NOT_READY: Final = _define(
    "not-ready", 503, "This process has no settled configuration yet.", "Starting; see its dump."
)
CONNECT_FAILED: Final = _define(
    "connect-failed", 502, "The upstream could not be reached.", "A host or a link is down."
)
REVOKED: Final = _define(
    "revoked", 503, "The request was withdrawn before it was handed over.", "Entry gave up on it."
)
HOME_GONE: Final = _define(
    "home-gone", 503, "The upstream that owns this key cannot be reached.", "See at-most-once."
)
LEDGER_YOUNG: Final = _define(
    "ledger-young", 503, "The owner of this key is too new to know it.", "See at-most-once."
)
LEDGER_FULL: Final = _define(
    "ledger-full", 503, "The ledger of keys is full.", "Raise ledger_entries or spread the load."
)
DEADLINE: Final = _define(
    "deadline", 504, "The deadline passed.", "Slow upstreams, or a deadline set too short."
)

INTERNAL_REFUSAL: Final = _define(
    "internal-refusal",
    503,
    "This process failed before the request was handed over.",
    "A fault of headcross: the log line 'request failed' has its stack.",
)

# Errors after which the request may have run.
INTERNAL_ERROR: Final = _define(
    "internal-error",
    500,
    "This process failed while it handled the request.",
    "A fault of headcross: the log line 'request failed' or 'handler failed' has its stack.",
)
DUPLICATE_KEY: Final = _define(
    "duplicate-key", 409, "A request with this key came before.", "The caller sent it twice."
)
LINK_LOST: Final = _define(
    "link-lost", 502, "The link was lost after the hand-over.", "A host, a link or an engine died."
)
ANSWER_GIVEN_UP: Final = _define(
    "answer-given-up",
    502,
    "The answer was too large to be received beside others.",
    "Replicas send large answers at once, or one that does not end; see the attempts.",
)
UPSTREAM_ERROR: Final = _define(
    "upstream-error", 502, "The upstream broke the protocol.", "Look at the engine's own log."
)
WEIGHTS_ENDED: Final = _define(
    "weights-ended",
    502,
    "The weights it was sent to were replaced before it began.",
    "New weights came late, and requests waited long at replicas that held the old ones.",
)
WITHDRAWN: Final = _define(
    "withdrawn",
    502,
    "Replicas ended while they ran this same request, or others like it; it was withdrawn.",
    "Replicas ended under the same path, key and body, or under a part of its prompt.",
)
STREAM_BROKEN: Final = _define(
    "stream-broken", 502, "The answer broke off and could not be resumed.", "See link-lost."
)

# Kinds that appear in dumps and logs only, never in answers to callers.
MALFORMED: Final = _define(
    "malformed",
    0,
    "Bytes could not be decoded.",
    "Another process or writer sent them; see detail.",
)
FILE_REJECTED: Final = _define(
    "file-rejected", 0, "The fleet file was rejected whole.", "Mend the file; the last good holds."
)
SETTINGS_INVALID: Final = _define(
    "settings-invalid", 0, "The settings are not valid.", "The daemon does not start."
)
REVISION_OLD: Final = _define(
    "revision-old", 0, "An older revision was offered.", "The configuration service is stale."
)
REVISION_CONFLICT: Final = _define(
    "revision-conflict", 0, "Two bodies have one revision.", "The configuration service is split."
)
CHUNK_CORRUPT: Final = _define(
    "chunk-corrupt", 0, "A chunk failed verification.", "See which source; it is quarantined."
)
MANIFEST_MISMATCH: Final = _define(
    "manifest-mismatch",
    0,
    "The manifest does not have the digest the fleet file names.",
    "The version's bytes changed at the origin, or the file names the wrong digest.",
)
MEMORY_TOO_SMALL: Final = _define(
    "memory-too-small", 0, "The weights do not fit.", "Raise weights memory or move the pool."
)
SOURCE_FAILED: Final = _define(
    "source-failed",
    0,
    "A weight source failed.",
    "The origin, the store or the way there is down.",
)
ORDER_REFUSED: Final = _define(
    "order-refused", 0, "The engine refused an order.", "Another process holds a higher fence."
)
ORDER_FAILED: Final = _define(
    "order-failed", 0, "An order's outcome is not known.", "The engine is down or slow; re-read."
)
ENGINE_MISMATCH: Final = _define(
    "engine-mismatch", 0, "The engine reports other weights than ordered.", "It does not serve."
)
FACTS_OLD: Final = _define(
    "facts-old", 0, "The process was paused or cut off; it re-reads before it acts.", "See dump."
)
