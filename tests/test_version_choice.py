"""Tests which versions are fetched or skipped when they are named in quick succession."""

from typing import Any, cast

import pytest
from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts, VersionNotice
from headcross_platform.store import MetadataStore
from headcross_ports.configuration import CallerLimits, Configuration, Service, WeightsLayout
from headcross_ports.published import LoadedModel, Replica, Topic
from headcross_renewal.mirroring import MIN_SERVICE_SECONDS, Mirror
from headcross_renewal.mirrors import SwarmPorts
from headcross_renewal.versionchoice import FetchEstimate, serves_until

BOUND_SECONDS = 10.3
LINK_BYTES_PER_SECOND = 400_000.0  # share for weights of a 3.8 Mbit/s link
WEIGHTS_BYTES = 64 * 32768


@pytest.mark.parametrize(
    ("missing_share", "worth"), [(0.1, True), (0.2, True), (0.6, False), (1.0, False)]
)
def test_an_older_version_is_finished_only_if_it_serves_for_longer_than_that_takes(
    missing_share: float, worth: bool
) -> None:
    """Guards against fetching a version that can no longer serve when it is complete.

    Versions 2 and 3 are named 3 s apart; the origin is reachable again 8.5 s after the first.
    Fetching all of version 2 before version 3 left the replicas without service for 9 s.
    """
    notices = [VersionNotice(2, 0.0, False), VersionNotice(3, 3.0, False)]
    estimate = FetchEstimate(
        int(missing_share * WEIGHTS_BYTES),
        LINK_BYTES_PER_SECOND,
        serves_until(2, notices, BOUND_SECONDS),
        serves_until(1, notices, BOUND_SECONDS),
    )
    assert estimate.is_worthwhile(8.5, delays_newer=True) == worth


def test_a_version_that_serves_no_longer_than_the_held_one_is_skipped() -> None:
    """Both versions are learned when the store is reachable again; the older would add 0.1 s."""
    notices = [VersionNotice(2, 0.0, False), VersionNotice(3, 0.1, False)]
    estimate = FetchEstimate(
        WEIGHTS_BYTES // 10,
        LINK_BYTES_PER_SECOND,
        serves_until(2, notices, BOUND_SECONDS),
        serves_until(1, notices, BOUND_SECONDS),
    )
    assert not estimate.is_worthwhile(1.0, delays_newer=True)


def mirror_with(notices: list[VersionNotice], held: int) -> Mirror:
    """Return a mirror with the given notices and one replica that holds version `held`."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    services = {"lm": Service("lm", 100, WeightsLayout(("m",), 64, 32768))}
    facts.configuration = Configuration(1, (), services, (), CallerLimits(1, 1, 1.0, 1.0))
    loaded = (LoadedModel("m", held),)
    facts.replicas["i"] = Replica("i", "lm", Address("10.0.0.1", 80), "z", 8, False, loaded)
    facts.topics[Topic.REPLICAS].known = True
    facts.versions["m"] = notices
    unused = cast(Any, None)
    return Mirror({}, SwarmPorts(1, 2), facts, unused, unused, unused, unused, 1e9, BOUND_SECONDS)


@pytest.mark.parametrize(
    ("gap", "versions"), [(0.1, [3]), (MIN_SERVICE_SECONDS, [2, 3]), (3.0, [2, 3])]
)
def test_a_mirror_skips_a_version_that_is_superseded_at_once(
    gap: float, versions: list[int]
) -> None:
    named_at = monotonic() + 1.0
    notices = [VersionNotice(2, named_at, False), VersionNotice(3, named_at + gap, False)]
    assert [goal.version for goal in mirror_with(notices, held=1)._goals()] == versions


@pytest.mark.parametrize(("held", "versions"), [(1, [2]), (2, [])])
def test_a_mirror_that_starts_late_takes_part_only_if_no_replica_serves_the_version(
    held: int, versions: list[int]
) -> None:
    """Without mirrors, 12 of 41 replicas load within 8 s of a kill of all processes, 29 never."""
    notices = [VersionNotice(2, monotonic(), at_start=True)]
    assert [goal.version for goal in mirror_with(notices, held)._goals()] == versions
