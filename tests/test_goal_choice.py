"""Which version a daemon brings in, by what it knows and what cannot be had; without a network."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest
from headcross_base.addresses import Address
from headcross_facts.facts import Facts, VersionNotice
from headcross_platform.store import MetadataStore
from headcross_ports.published import LoadedModel, Topic
from headcross_ports.replicas import ChunkDigests, ReplicaReport
from headcross_renewal import goalchoice
from headcross_renewal.goalchoice import DEFERRAL_SECONDS, GoalSelector
from headcross_renewal.versionchoice import serves_until
from headcross_weights.chunkstore import ChunkStore
from hypothesis import given
from hypothesis import strategies as st

BOUND_SECONDS = 8.0
MODEL = "m"
DIGESTS = ChunkDigests(4096, ("0" * 64,))


@dataclass
class Known:
    """What a daemon knows whose replica holds version 1, and the choice that goes by it."""

    now: float = 100.0
    notices: list[VersionNotice] = field(default_factory=list)
    settled: dict[LoadedModel, ChunkDigests] = field(default_factory=dict)

    def __post_init__(self) -> None:
        facts = Facts(MetadataStore(Address("127.0.0.1", 1)))
        facts.topics[Topic.REPLICAS].known = True
        facts.versions[MODEL] = self.notices
        held = LoadedModel(MODEL, 1)
        report = ReplicaReport((held,), False, 0, 0, 0, 0, 0, 1.0)
        reporter = SimpleNamespace(report=report, holds=lambda goal: goal.version <= 1)
        loading = SimpleNamespace(
            peers=list, serves_until=lambda m, v: serves_until(v, self.notices, BOUND_SECONDS)
        )
        parts: list[Any] = [
            facts,
            reporter,
            ChunkStore(1 << 20),
            SimpleNamespace(settled=self.settled),
            loading,
            SimpleNamespace(newest=lambda: None),
        ]
        self.choice = GoalSelector("lm", 1e6, *cast(Any, parts))

    def name(self, version: int) -> None:
        """Take the news that a version was named just now."""
        self.notices.append(VersionNotice(version, self.now, False))

    def chosen(self) -> int:
        """Return the version that is to be brought in."""
        goal = self.choice.choose()
        assert goal is not None
        return goal.version


@pytest.fixture
def known(monkeypatch: pytest.MonkeyPatch) -> Known:
    daemon = Known()
    monkeypatch.setattr(goalchoice, "monotonic", lambda: daemon.now)
    return daemon


def test_an_older_version_is_asked_for_though_none_of_it_was_heard_of_in_time(
    known: Known,
) -> None:
    """Version 2 was named while the daemon was busy, then version 3, with the origin away."""
    known.name(2)
    known.now += 0.5
    known.name(3)
    assert known.chosen() == 3
    known.choice.defer(LoadedModel(MODEL, 3))
    assert known.chosen() == 2


def test_an_older_version_that_cannot_be_had_either_gives_way(known: Known) -> None:
    known.name(2)
    known.now += 0.5
    known.name(3)
    known.choice.defer(LoadedModel(MODEL, 3))
    known.choice.defer(LoadedModel(MODEL, 2))
    assert known.chosen() == 3
    known.now += DEFERRAL_SECONDS + 0.1
    assert known.chosen() == 3


def test_an_older_version_that_would_serve_no_more_is_not_asked_for(known: Known) -> None:
    known.name(2)
    known.now += 0.5
    known.name(3)
    known.now += BOUND_SECONDS
    known.choice.defer(LoadedModel(MODEL, 3))
    assert known.chosen() == 3


EVENTS = st.lists(st.sampled_from(["name", "settle", "withhold", "wait"]), max_size=20)


@given(EVENTS)
def test_while_the_newest_version_cannot_be_had_an_older_one_that_serves_longer_is_chosen(
    events: list[str],
) -> None:
    """Names, digests and losses of the origin come in any order."""
    with pytest.MonkeyPatch.context() as patch:
        known = Known()
        patch.setattr(goalchoice, "monotonic", lambda: known.now)
        known.name(2)
        withheld: dict[int, float] = {}
        for event in events:
            newest = known.notices[-1].version
            match event:
                case "name":
                    known.name(newest + 1)
                case "settle":
                    known.settled[LoadedModel(MODEL, newest)] = DIGESTS
                case "withhold":
                    chosen = known.chosen()
                    known.choice.defer(LoadedModel(MODEL, chosen))
                    withheld[chosen] = known.now + DEFERRAL_SECONDS
                case "wait":
                    known.now += 0.4
            newest = known.notices[-1].version
            chosen = known.chosen()
            if withheld.get(newest, 0.0) <= known.now:
                assert chosen == newest
                continue
            served = serves_until(1, known.notices, BOUND_SECONDS)
            useful = [
                notice.version
                for notice in known.notices[:-1]
                if withheld.get(notice.version, 0.0) <= known.now
                and serves_until(notice.version, known.notices, BOUND_SECONDS)
                > max(served, known.now + 0.5)
            ]
            assert chosen in ([useful[-1]] if useful else [newest, *range(2, newest)])
