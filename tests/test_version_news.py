"""Which named versions processes tell one another, and what they take from it."""

from headcross_base.addresses import Address
from headcross_base.clocks import monotonic
from headcross_daemon.versionnews import (
    VERSION_NEWS_SECONDS,
    receive_version_news,
    recent_version_news,
)
from headcross_facts.facts import Facts, VersionNotice
from headcross_platform.store import MetadataStore
from headcross_wire.peermessages import NamedVersionNews


def facts_with(*ages: float) -> Facts:
    """Return what a process knows that saw versions 2 and on being named so long ago."""
    facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
    for version, age in enumerate(ages, start=2):
        facts.hear_version("m", version, age)
    return facts


def told(facts: Facts) -> list[int]:
    """Return the versions that a process tells."""
    return [news.version for news in recent_version_news(facts)]


def test_a_version_is_told_while_it_or_the_next_one_is_new() -> None:
    old, new = VERSION_NEWS_SECONDS + 5.0, 1.0
    assert told(facts_with(new)) == [2]
    assert told(facts_with(old)) == []
    # It was wanted until a moment ago, and a killed process may have calls for it under way.
    assert told(facts_with(old, new)) == [2, 3]
    assert told(facts_with(3 * old, 2 * old, new)) == [3, 4]


def test_a_version_whose_age_is_not_known_is_not_told() -> None:
    facts = facts_with()
    facts.versions["m"] = [VersionNotice(2, monotonic(), at_start=True)]
    assert told(facts) == []


def test_a_process_that_starts_learns_which_version_was_wanted_before_the_newest() -> None:
    facts = facts_with()
    facts.versions["m"] = [VersionNotice(3, monotonic(), at_start=True)]
    receive_version_news(facts, [NamedVersionNews("m", 2, 4.0), NamedVersionNews("m", 3, 1.0)])
    older, newest = facts.versions["m"]
    assert (older.version, newest.version) == (2, 3)
    assert not older.at_start and not newest.at_start
    assert newest.seen_at - older.seen_at > 2.0
