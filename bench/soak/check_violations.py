"""Defines the promises that a soak checks, and a violation of one of them."""

from dataclasses import dataclass
from enum import Enum


class Promise(Enum):
    """A guarantee that the system gives to callers or operators."""

    COMPLETE_ANSWERS = "whole and own answers"
    AT_MOST_ONCE = "at most one run"
    REFUSED_NOT_RUN = "not run means not run"
    ONE_VERSION = "one version in an answer"
    OLD_WEIGHTS = "no late start on old weights"
    LEAVING = "no late work for a leaving replica"
    ANNOUNCED_LEAVING = "no late work for a replica that says that it leaves"
    LIMIT = "no more than a replica's limit allows"
    REST = "nothing for a replica that asked for rest"
    PLANNED_STOP = "a planned stop cuts nothing off"
    CONFIGURATION = "configuration in force in time and for good"
    RETRY_BOUND = "bounded retries"
    RECOVERY = "ordinary service after faults"


@dataclass(frozen=True, slots=True)
class Violation:
    """One breach of a promise."""

    promise: Promise
    at: float  # in seconds on the record's clock
    subject: str  # the affected request, replica or entry
    detail: str
