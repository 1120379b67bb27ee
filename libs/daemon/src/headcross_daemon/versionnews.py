"""News of named versions between processes.

The store tells the newest version of a model only, and not since when. A process that started a
moment ago learns from the others which versions were wanted before and when each was named.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from headcross_base.clocks import monotonic
from headcross_facts.facts import Facts, VersionNotice
from headcross_wire.peermessages import NamedVersionNews

# A version is told for so long after it was named, or was followed by a newer one. The calls to
# the store have brought it by then, and what a process killed meanwhile had under way for it has
# taken effect.
NEWS_SECONDS: Final = 15.0


def news_of_versions(facts: Facts) -> list[NamedVersionNews]:
    """Return the versions that were the newest lately, where it is known when each was named."""
    now = monotonic()
    return [
        NamedVersionNews(model, notice.version, round(now - notice.seen_at, 3))
        for model, notices in facts.versions.items()
        for notice in _newest_lately(notices, now)
        if not notice.at_start
    ]


def hear_versions(facts: Facts, news: Iterable[NamedVersionNews]) -> None:
    """Take the news of another process."""
    for each in news:
        facts.record_named_version(each.model, each.version, each.age)


def _newest_lately(notices: Sequence[VersionNotice], now: float) -> list[VersionNotice]:
    """Return those of one model's versions, oldest first, that were the newest one lately."""
    wanted_until = [notice.seen_at for notice in [*notices[1:], *notices[-1:]]]
    return [
        notice
        for notice, until in zip(notices, wanted_until, strict=True)
        if now - until < NEWS_SECONDS
    ]
