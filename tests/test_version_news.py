"""Tests which named versions processes report to one another, and how reports are recorded."""

from headcross_base.addresses import Address
from headcross_base.monotonic import monotonic
from headcross_daemon.versionnews import (
    VERSION_NEWS_SECONDS,
    receive_version_news,
    recent_version_news,
)
from headcross_facts.facts import Facts, VersionNotice
from headcross_platform.store import MetadataStore
from headcross_wire.peermessages import NamedVersionNews


def facts_with(*ages: float) -> Facts:
    """Return the facts of a process that saw versions 2, 3, ... named `ages` seconds ago."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    for version, age in enumerate(ages, start=2):
        facts.record_named_version("m", version, age)
    return facts


def reported_versions(facts: Facts) -> list[int]:
    """Return the versions that a process reports."""
    return [news.version for news in recent_version_news(facts)]


def test_a_version_is_reported_while_it_or_the_next_one_is_new() -> None:
    old, new = VERSION_NEWS_SECONDS + 5.0, 1.0
    assert reported_versions(facts_with(new)) == [2]
    assert reported_versions(facts_with(old)) == []
    # The old version was in force until just before, and a killed process may have calls for it in
    # progress.
    assert reported_versions(facts_with(old, new)) == [2, 3]
    assert reported_versions(facts_with(3 * old, 2 * old, new)) == [3, 4]


def test_a_version_whose_age_is_not_known_is_not_reported() -> None:
    facts = facts_with()
    facts.versions["m"] = [VersionNotice(2, monotonic(), at_start=True)]
    assert reported_versions(facts) == []


def test_a_starting_process_learns_which_version_was_in_force_before_the_newest() -> None:
    facts = facts_with()
    facts.versions["m"] = [VersionNotice(3, monotonic(), at_start=True)]
    receive_version_news(facts, [NamedVersionNews("m", 2, 4.0), NamedVersionNews("m", 3, 1.0)])
    older, newest = facts.versions["m"]
    assert (older.version, newest.version) == (2, 3)
    assert not older.at_start and not newest.at_start
    assert newest.seen_at - older.seen_at > 2.0
