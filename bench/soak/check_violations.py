"""What a checker of the soak finds: one broken promise at a time."""

from dataclasses import dataclass
from enum import Enum


class Promise(Enum):
    """What the system promises to callers and operators."""

    WHOLE_OWN = "whole and own answers"
    AT_MOST_ONCE = "at most one run"
    NOT_RUN_TRUE = "not run means not run"
    ONE_VERSION = "one version in an answer"
    OLD_WEIGHTS = "no late start on old weights"
    LEAVING = "no late work for a leaving replica"
    SAID_LEAVING = "no late work for a replica that says that it leaves"
    LIMIT = "no more than a replica's limit allows"
    REST = "nothing for a replica that asked for rest"
    PLANNED_STOP = "a planned stop cuts nothing off"
    CONFIGURATION = "configuration in force in time and for good"
    RETRY_BOUND = "bounded retries"
    RECOVERY = "ordinary service after faults"


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken once."""

    promise: Promise
    at: float  # on the record's clock
    subject: str  # the request, replica or entry that it befell
    detail: str
