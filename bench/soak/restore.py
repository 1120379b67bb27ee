"""Restores the store of a soak from an older copy of itself, as the platform's drills do."""

from typing import Final

import trio
from headcross_platform import names

from bench.soak.site import Site
from testing.platformstore import StoreCondition

# From the store's return until operator and replicas have written again what the copy lacks.
REWRITE_SECONDS: Final = 0.5


async def restore_store(site: Site, seconds: float, copy_age: float) -> None:
    """Restore the store from a copy that is `copy_age` seconds old now.

    It resets its callers first. After `seconds`, everything that the copy lacks is written again.
    """
    store = site.machines.store
    copied = store.revision_before(copy_age)
    store.set_condition(StoreCondition.RESET)
    await trio.sleep(max(0.1, seconds - REWRITE_SECONDS))
    store.restore(copied)
    store.set_condition(StoreCondition.WELL)
    await trio.sleep(REWRITE_SECONDS)
    site.publish_again()


def unlist_ended_replicas(site: Site) -> None:
    """Remove the entries of replicas that have ended, which the copy may have brought back."""
    for replica_id, listed in site.machines.replicas.items():
        key = f"{names.REPLICA_PREFIX}{replica_id}"
        if listed.ended.is_set() and key in site.machines.store.items:
            site.machines.unlist(listed)
