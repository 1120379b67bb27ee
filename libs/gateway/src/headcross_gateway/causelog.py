"""Describes what replicas were lost to, in log lines and in the state dump."""

import logging
from typing import Final

from headcross_gateway.attribution import Cause, Standing

MAX_LOGGED_REPLICAS: Final = 16

logger = logging.getLogger(__name__)


def describe_cause(cause: Cause, now: float) -> dict[str, object]:
    """Return the fields that describe a cause; times are in seconds before or after `now`."""
    barred_until = cause.barred_until()
    fields: dict[str, object] = {
        "cause": str(cause),
        "losses": len(cause.losses),
        "silences": cause.silences,
        "last_loss_age": round(now - cause.last_at, 3),
        "barred_for": round(max(0.0, min(1e9, barred_until - now)), 1),
        "replicas": sorted(key.replica for key in cause.losses)[:MAX_LOGGED_REPLICAS],
    }
    if cause.request is not None:
        fields["request_digest"] = str(cause.request)
    return fields


def log_standing(cause: Cause, standing: Standing, now: float) -> None:
    """Log the changed standing of a single request, or of those that share a cause."""
    message = "request judged" if cause.request is not None else "cause judged"
    logger.info(message, extra={"standing": standing.value, **describe_cause(cause, now)})
