"""Team limits at an entry, without shared counters.

The fleet file gives a team's limits for the whole fleet. Each entry enforces its own share: the
limit divided by the number of entries in the host list, since the platform's load balancer spreads
callers over them. The share changes with the host list. The limit on the request rate is a token
bucket.
"""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

from headcross_base.errorcodes import TEAM_LIMIT
from headcross_base.monotonic import monotonic
from headcross_base.verdicts import NotRun
from headcross_fleet.fleetfile import Team

# The load balancer never spreads requests quite evenly, so an entry admits its share times this
# factor.
SHARE_FACTOR: Final = 1.25
IN_FLIGHT_RETRY_SECONDS: Final = 1.0


@dataclass(slots=True)
class _TeamState:
    tokens: float  # requests that may be admitted now
    refilled_at: float  # in seconds on the monotonic clock
    in_flight: int = 0
    admitted: int = 0
    refused: int = 0


class TeamLimits:
    """The shares of all teams' limits at one entry."""

    def __init__(self) -> None:
        self._states: dict[str, _TeamState] = {}

    def admit(self, name: str, team: Team, entries: int) -> NotRun | None:
        """Admit one request of a team; return None, or a refusal with the time to wait.

        `entries` is the number of entries in the host list.
        """
        share = SHARE_FACTOR / max(1, entries) if entries > 1 else 1.0
        state = self._refilled_state(name, team, share)
        if state.in_flight >= math.ceil(team.max_in_flight * share):
            state.refused += 1
            detail = f"{state.in_flight} requests in flight at this entry"
            return NotRun(TEAM_LIMIT, detail, IN_FLIGHT_RETRY_SECONDS)
        if state.tokens < 1:
            state.refused += 1
            wait = (1 - state.tokens) / (team.requests_per_second * share)
            return NotRun(TEAM_LIMIT, "too many requests a second", wait)
        state.tokens -= 1
        state.admitted += 1
        return None

    @contextmanager
    def in_flight(self, name: str) -> Iterator[None]:
        """Count an admitted request as in flight within the `with` block."""
        state = self._states[name]
        state.in_flight += 1
        try:
            yield
        finally:
            state.in_flight -= 1

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the counters of every team seen at this entry, for diagnosis."""
        return {
            name: {
                "in_flight": state.in_flight,
                "admitted": state.admitted,
                "refused": state.refused,
                "tokens": round(state.tokens, 2),
            }
            for name, state in self._states.items()
        }

    def _refilled_state(self, name: str, team: Team, share: float) -> _TeamState:
        """Return a team's state with the tokens added that it has gained since the last call."""
        now = monotonic()
        burst = max(1.0, team.burst * share)
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = _TeamState(burst, now)
        gained = (now - state.refilled_at) * team.requests_per_second * share
        state.tokens = min(burst, state.tokens + gained)
        state.refilled_at = now
        return state
