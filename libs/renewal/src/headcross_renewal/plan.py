"""What a daemon beside a replica needs of the configuration: the model, and the origin of weights.

The whole configuration may be hundreds of kilobytes, changes several times a second at times, and
has to come over the narrow link that the weights need; after a restart of all, 60 daemons that
listed it kept the links between regions full for 20 s. So entries, which follow it anyway, tell
daemons this little part of it once a second, and at once when they are asked. A daemon lists the
whole of it only when it needs it, because its replica is empty or must be renewed, and nobody has
told it. The daemons of a region agree, by rendezvous hashing, on who lists first and who stands in
for it; the others ask these.
"""

import random
from collections.abc import Callable, Iterable
from typing import Final

import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.clocks import monotonic
from headcross_base.hashing import rendezvous_order
from headcross_facts.facts import Facts
from headcross_ports.configuration import Configuration
from headcross_wire.peermessages import AskPlan, WeightsPlan
from headcross_wire.peernode import PeerNode

# Entries are asked this often by a daemon that knows no plan, at first and later. A question has
# a few bytes, and the first one to each entry only opens the link.
FIRST_ASK_SECONDS: Final = 0.05
ASK_SECONDS: Final = 0.3
# A daemon that an entry told a plan within this time does not list the configuration.
TOLD_SECONDS: Final = 3.0
# A daemon lists the configuration so long after it began to ask, and the one behind it in its
# region's order so much later. A configuration of half a megabyte takes 1.1 s over the 3.8 Mbit/s
# of a daemon's link. While each of 41 daemons listed it for itself after a restart of all, over
# 13.5 Mbit/s between regions, the last ones had it 16 s and 24 s after their start.
FIRST_LISTING_SECONDS: Final = 0.3
LISTING_STEP_SECONDS: Final = 1.0
# The first daemons of a region's order, which others ask for the plan beside the entries.
DAEMONS_ASKED: Final = 2
# After a listing that brought nothing, the next one is so long after it.
LIST_AGAIN_SECONDS: Final = 3.0


def plan_of(configuration: Configuration) -> WeightsPlan:
    """Return the part of a configuration that concerns weights."""
    origin = configuration.origin_of_weights()
    models = {
        service.name: service.weights.models[0]
        for service in configuration.services.values()
        if service.weights is not None and service.weights.models
    }
    return WeightsPlan(configuration.version, models, str(origin) if origin is not None else "")


class PlanBook:
    """The newest plan that a process knows, from entries or a configuration it listed itself."""

    def __init__(self, facts: Facts) -> None:
        self._facts = facts
        self._heard: WeightsPlan | None = None
        self._heard_at = float("-inf")
        self._listed_version = -1
        self._listed: WeightsPlan | None = None

    def hear(self, plan: WeightsPlan) -> None:
        """Take the word of an entry; one that is older than what was heard changes nothing."""
        self._heard_at = monotonic()
        if self._heard is None or plan.version > self._heard.version:
            self._heard = plan

    def told_lately(self) -> bool:
        """Tell whether an entry has told a plan a short while ago."""
        return monotonic() - self._heard_at < TOLD_SECONDS

    def newest(self) -> WeightsPlan | None:
        """Return the newest plan, None while nothing is known."""
        plans = [plan for plan in (self._heard, self._from_listing()) if plan is not None]
        return max(plans, key=lambda plan: plan.version, default=None)

    def origin(self) -> Address | None:
        """Return where weights come from."""
        plan = self.newest()
        return parse_address(plan.origin) if plan is not None and plan.origin else None

    def _from_listing(self) -> WeightsPlan | None:
        configuration = self._facts.configuration
        if configuration is not None and configuration.version != self._listed_version:
            self._listed = plan_of(configuration)
            self._listed_version = configuration.version
        return self._listed


def listing_order(daemons: Iterable[str]) -> list[str]:
    """Return the daemons of a region in the order in which they list the configuration.

    >>> sorted(listing_order(["10.0.0.1", "10.0.0.2"]))
    ['10.0.0.1', '10.0.0.2']
    """
    return rendezvous_order("plan", daemons)


async def seek_plan(
    book: PlanBook,
    node: PeerNode,
    askable: Callable[[], list[Address]],
    listing_rank: Callable[[], int | None],
    list_configuration: Callable[[], None],
) -> None:
    """Ask others until a plan is known; list the configuration if that takes long.

    `askable` are the entries and daemons to ask. `listing_rank` tells how many daemons list before
    this one, None while the list of replicas is not here. Others are asked from the first moment
    on, since the store may be slow: waiting for the list first cost added replicas a second.
    """
    started_at = monotonic()
    lists_at: float | None = None
    pause = FIRST_ASK_SECONDS
    while book.newest() is None:
        for address in askable():
            node.send(address, AskPlan())
        rank = listing_rank()
        if lists_at is None and rank is not None:
            lists_at = started_at + FIRST_LISTING_SECONDS + rank * LISTING_STEP_SECONDS
        if lists_at is not None and monotonic() >= lists_at:
            list_configuration()
            lists_at = monotonic() + LIST_AGAIN_SECONDS * random.uniform(1, 2)
        await trio.sleep(pause)
        pause = min(ASK_SECONDS, 1.5 * pause)
