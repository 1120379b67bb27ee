"""An entry's client of the key ledger: claims keys at their owners and releases the claims."""

from typing import Final

import msgspec
import trio
from headcross_base.errorcodes import CONNECT_FAILED, HOME_GONE, LINK_LOST
from headcross_base.errors import Failure
from headcross_base.verdicts import VERDICT_HEADER, NotRun, Refusal
from headcross_native.hostlist import HostList
from headcross_wire.httpclient import call
from headcross_wire.replies import MAX_ERROR_BYTES, parse_refusal

from headcross_routing.ledger import CLAIMS_PATH, KeyClaim, key_owners, owner_of
from headcross_routing.requestmeta import RequestMeta

CLAIM_TIMEOUT_SECONDS: Final = 1.0
CLAIM_ATTEMPTS: Final = 2  # a repeated claim is granted to the same submission again


async def claim_key(meta: RequestMeta, hosts: HostList) -> Refusal | None:
    """Claim the key of a request that must not be repeated.

    Returns None if the claim is granted, else a refusal.
    """
    last_failure: Failure | None = None
    for _ in range(CLAIM_ATTEMPTS):
        result = await _call_owner(_claim_of(meta), hosts)
        if not isinstance(result, Failure):
            return result
        last_failure = result
    return NotRun(HOME_GONE, str(last_failure), 2.0)


async def release_key(meta: RequestMeta, hosts: HostList) -> None:
    """Release a claim, so that the caller may send the request again.

    If this message is lost, the key stays claimed: a resubmission is refused, not run twice.
    """
    claim = msgspec.structs.replace(_claim_of(meta), release=True)
    with trio.CancelScope(shield=True):
        await _call_owner(claim, hosts)


def _claim_of(meta: RequestMeta) -> KeyClaim:
    return KeyClaim(
        key=f"{meta.team}/{meta.key}",
        request=meta.id,
        first=meta.first_submission,
        remaining=meta.remaining,
    )


async def _call_owner(claim: KeyClaim, hosts: HostList) -> Refusal | Failure | None:
    """Send a claim to its key's owner.

    Returns None if it is granted or released, the owner's refusal, or why there is no answer.
    """
    name = owner_of(claim.key, key_owners(hosts))
    owner = hosts.find(name) if name is not None else None
    if owner is None:
        return Failure(CONNECT_FAILED, "no upstream daemon is listed")
    outcome = await call(
        owner.http_address,
        "POST",
        CLAIMS_PATH,
        body=msgspec.json.encode(claim),
        seconds=CLAIM_TIMEOUT_SECONDS,
        max_bytes=MAX_ERROR_BYTES,
    )
    if isinstance(outcome, Failure):
        return outcome
    answer = outcome.value
    if answer.status == 200:
        return None
    headers = dict(answer.headers)
    verdict = headers.get(VERDICT_HEADER.lower())
    if verdict is None:
        return Failure(LINK_LOST, f"{name}: status {answer.status}")
    return parse_refusal(verdict, headers.get("retry-after"), answer.body)
