"""Tells other processes which model versions were named recently, and when.

The store gives only the newest version of a model, without the time at which it was named. A
process that has just started learns from others which versions were in force before and when each
was named.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from headcross_base.monotonic import monotonic
from headcross_facts.facts import Facts, VersionNotice
from headcross_wire.peermessages import NamedVersionNews

# How long a version is reported after it was named or was superseded by a newer one. By then every
# process has read it from the store, and calls for it that a killed process had in progress have
# taken effect.
VERSION_NEWS_SECONDS: Final = 15.0


def recent_version_news(facts: Facts) -> list[NamedVersionNews]:
    """Return the versions that were recently the newest, if the time of their naming is known."""
    now = monotonic()
    return [
        NamedVersionNews(model, notice.version, round(now - notice.seen_at, 3))
        for model, notices in facts.versions.items()
        for notice in _recently_newest(notices, now)
        if not notice.at_start
    ]


def receive_version_news(facts: Facts, news: Iterable[NamedVersionNews]) -> None:
    """Record the named versions reported by another process."""
    for named in news:
        facts.record_named_version(named.model, named.version, named.age)


def _recently_newest(notices: Sequence[VersionNotice], now: float) -> list[VersionNotice]:
    """Return the versions of one model that were recently the newest, oldest first."""
    # When each version was superseded by the next, or the newest was named.
    counted_from = [notice.seen_at for notice in [*notices[1:], *notices[-1:]]]
    return [
        notice
        for notice, moment in zip(notices, counted_from, strict=True)
        if now - moment < VERSION_NEWS_SECONDS
    ]
