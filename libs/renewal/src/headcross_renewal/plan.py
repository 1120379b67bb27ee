"""Distributes the plan: the part of the configuration that a replica's daemon needs.

The plan names the model of each service and the origin of weights. The whole configuration may be
hundreds of kilobytes, may change several times a second, and would share the daemon's narrow link
with weights: when 60 daemons listed it after a restart of all processes, the links between regions
were full for 20 s. Entries follow the configuration anyway, so they send daemons the plan once a
second and on request. A daemon lists the configuration only if it needs the plan, because its
replica is empty or must be updated, and no other process has sent it. The daemons of a region
agree, by rendezvous hashing, on the order in which they list the configuration; the others ask the
first ones in that order.
"""

import random
from collections.abc import Callable, Iterable
from typing import Final

import trio
from headcross_base.addresses import Address, parse_address
from headcross_base.hashing import rendezvous_order
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts
from headcross_ports.configuration import Configuration
from headcross_wire.peermessages import AskPlan, WeightsPlan
from headcross_wire.peernode import PeerNode

# Intervals between a daemon's requests for the plan: the first one, and the one they grow to. A
# request has a few bytes, and the first one to each process only opens the link.
FIRST_ASK_INTERVAL_SECONDS: Final = 0.05
MAX_ASK_INTERVAL_SECONDS: Final = 0.3
# A daemon that received a plan within this time does not list the configuration.
PLAN_FRESH_SECONDS: Final = 3.0
# The first daemon of a region's order lists the configuration this long after its first request,
# and each following daemon one step later. A configuration of half a megabyte takes 1.1 s over a
# daemon's link of 3.8 Mbit/s. When each of 41 daemons listed it after a restart of all processes,
# over 13.5 Mbit/s between regions, the last ones had it 16 s and 24 s after their start.
FIRST_LISTING_DELAY_SECONDS: Final = 0.3
LISTING_STEP_SECONDS: Final = 1.0
# The number of daemons, first in a region's order, that others ask in addition to the entries.
DAEMONS_ASKED: Final = 2
# The least time until the next listing if one yielded no plan; jitter at most doubles it.
LISTING_RETRY_SECONDS: Final = 3.0


def plan_of(configuration: Configuration) -> WeightsPlan:
    """Return the plan for a configuration: its models and its origin of weights."""
    origin = configuration.origin_of_weights()
    models = {
        service.name: service.weights.models[0]
        for service in configuration.services.values()
        if service.weights is not None and service.weights.models
    }
    return WeightsPlan(configuration.version, models, str(origin) if origin is not None else "")


class PlanRegistry:
    """The newest plan known to a process, received from others or from its own listing."""

    def __init__(self, facts: Facts) -> None:
        self._facts = facts
        self._received: WeightsPlan | None = None
        self._received_at = float("-inf")
        self._listed_version = -1
        self._listed: WeightsPlan | None = None

    def receive(self, plan: WeightsPlan) -> None:
        """Record that a plan was received, and keep it if it is newer than the last one."""
        self._received_at = monotonic()
        if self._received is None or plan.version > self._received.version:
            self._received = plan

    def received_recently(self) -> bool:
        """Return whether a plan was received within `PLAN_FRESH_SECONDS`."""
        return monotonic() - self._received_at < PLAN_FRESH_SECONDS

    def newest(self) -> WeightsPlan | None:
        """Return the newest plan, or None if there is none."""
        plans = [plan for plan in (self._received, self._from_listing()) if plan is not None]
        return max(plans, key=lambda plan: plan.version, default=None)

    def origin(self) -> Address | None:
        """Return the address of the origin of weights, or None if no plan names one."""
        plan = self.newest()
        if plan is None or not plan.origin:
            return None
        try:
            return parse_address(plan.origin)
        except ValueError:
            return None  # another process told it

    def _from_listing(self) -> WeightsPlan | None:
        configuration = self._facts.configuration
        if configuration is not None and configuration.version != self._listed_version:
            self._listed = plan_of(configuration)
            self._listed_version = configuration.version
        return self._listed


def listing_order(daemons: Iterable[str]) -> list[str]:
    """Return the daemons of a region in the order in which they may list the configuration.

    >>> sorted(listing_order(["10.0.0.1", "10.0.0.2"]))
    ['10.0.0.1', '10.0.0.2']
    """
    return rendezvous_order("plan", daemons)


async def obtain_plan(
    registry: PlanRegistry,
    node: PeerNode,
    addresses_to_ask: Callable[[], list[Address]],
    listing_rank: Callable[[], int | None],
    list_configuration: Callable[[], None],
) -> None:
    """Request the plan from other processes until one is known.

    If no process sends it in time, this one lists the configuration.

    `addresses_to_ask` returns the entries and daemons to ask. `listing_rank` returns how many
    daemons list before this one, or None while the list of replicas is not available. Requests
    begin without waiting for that list: the store may be slow, and waiting for it delayed added
    replicas by 1 s.
    """
    started_at = monotonic()
    lists_at: float | None = None
    pause = FIRST_ASK_INTERVAL_SECONDS
    while registry.newest() is None:
        for address in addresses_to_ask():
            node.send(address, AskPlan())
        rank = listing_rank()
        if lists_at is None and rank is not None:
            lists_at = started_at + FIRST_LISTING_DELAY_SECONDS + rank * LISTING_STEP_SECONDS
        if lists_at is not None and monotonic() >= lists_at:
            list_configuration()
            lists_at = monotonic() + LISTING_RETRY_SECONDS * random.uniform(1, 2)
        await trio.sleep(pause)
        pause = min(MAX_ASK_INTERVAL_SECONDS, 1.5 * pause)
