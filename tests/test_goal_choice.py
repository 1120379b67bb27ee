"""Tests of which version a daemon selects as goal, without a network."""

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
class DaemonState:
    """The state of a daemon whose replica holds version 1, with its goal selector."""

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
            service_replicas=list,
            serves_until=lambda m, v: serves_until(v, self.notices, BOUND_SECONDS),
        )
        parts: list[Any] = [
            facts,
            reporter,
            ChunkStore(1 << 20),
            SimpleNamespace(settled=self.settled),
            loading,
            SimpleNamespace(newest=lambda: None),
        ]
        self.goal_selector = GoalSelector("lm", 1e6, *cast(Any, parts))

    def name(self, version: int) -> None:
        """Record that a version is named now."""
        self.notices.append(VersionNotice(version, self.now, False))

    def chosen(self) -> int:
        """Return the version that is selected."""
        goal = self.goal_selector.choose()
        assert goal is not None
        return goal.version


@pytest.fixture
def state(monkeypatch: pytest.MonkeyPatch) -> DaemonState:
    daemon = DaemonState()
    monkeypatch.setattr(goalchoice, "monotonic", lambda: daemon.now)
    return daemon


def test_an_older_version_without_known_digests_is_selected(
    state: DaemonState,
) -> None:
    """Versions 2 and 3 are named before any digests are known; the origin is unreachable."""
    state.name(2)
    state.now += 0.5
    state.name(3)
    assert state.chosen() == 3
    state.goal_selector.defer(LoadedModel(MODEL, 3))
    assert state.chosen() == 2


def test_an_older_version_that_is_unavailable_too_is_not_selected(state: DaemonState) -> None:
    state.name(2)
    state.now += 0.5
    state.name(3)
    state.goal_selector.defer(LoadedModel(MODEL, 3))
    state.goal_selector.defer(LoadedModel(MODEL, 2))
    assert state.chosen() == 3
    state.now += DEFERRAL_SECONDS + 0.1
    assert state.chosen() == 3


def test_an_older_version_past_its_bound_is_not_selected(state: DaemonState) -> None:
    state.name(2)
    state.now += 0.5
    state.name(3)
    state.now += BOUND_SECONDS
    state.goal_selector.defer(LoadedModel(MODEL, 3))
    assert state.chosen() == 3


EVENTS = st.lists(st.sampled_from(["name", "settle", "withhold", "wait"]), max_size=20)


@given(EVENTS)
def test_while_the_newest_version_is_unavailable_an_older_one_that_serves_longer_is_selected(
    events: list[str],
) -> None:
    """Versions are named, digests settled and versions deferred in any order."""
    with pytest.MonkeyPatch.context() as patch:
        state = DaemonState()
        patch.setattr(goalchoice, "monotonic", lambda: state.now)
        state.name(2)
        deferred_until: dict[int, float] = {}
        for event in events:
            newest = state.notices[-1].version
            match event:
                case "name":
                    state.name(newest + 1)
                case "settle":
                    state.settled[LoadedModel(MODEL, newest)] = DIGESTS
                case "withhold":
                    chosen = state.chosen()
                    state.goal_selector.defer(LoadedModel(MODEL, chosen))
                    deferred_until[chosen] = state.now + DEFERRAL_SECONDS
                case "wait":
                    state.now += 0.4
            newest = state.notices[-1].version
            chosen = state.chosen()
            if deferred_until.get(newest, 0.0) <= state.now:
                assert chosen == newest
                continue
            served = serves_until(1, state.notices, BOUND_SECONDS)
            useful = [
                notice.version
                for notice in state.notices[:-1]
                if deferred_until.get(notice.version, 0.0) <= state.now
                and serves_until(notice.version, state.notices, BOUND_SECONDS)
                > max(served, state.now + 0.5)
            ]
            assert chosen in ([useful[-1]] if useful else [newest, *range(2, newest)])
