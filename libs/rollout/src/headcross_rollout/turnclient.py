"""Asks entries whether an upstream may stop serving, and combines their answers.

Entries receive the heartbeats of all upstream daemons, so a daemon need not receive those of its
peers. An entry that missed heartbeats lacks fresh rows and therefore tends to refuse. Asking
several entries and taking the most cautious answer errs on the same side.
"""

import itertools
from typing import Final

import trio
from headcross_base.addresses import Address
from headcross_base.hashing import rendezvous_order
from headcross_fleet.documents import Documents
from headcross_wire.peermessages import AskTurn, TurnAnswer, TurnKind
from headcross_wire.peernode import PeerNode

from headcross_rollout.turns import Turn

MAX_ENTRIES_ASKED: Final = 3
ANSWER_TIMEOUT_SECONDS: Final = 1.0
# A message to an entry without an open link is dropped and only opens the link, so questions are
# sent again until an entry answers.
RESEND_INTERVAL_SECONDS: Final = 0.2


class _Question:
    """One question and the answers received so far."""

    def __init__(self, entries_asked: int) -> None:
        self.answers: list[TurnAnswer] = []
        self.answered = trio.Event()
        self._entries_asked = entries_asked

    def add(self, answer: TurnAnswer) -> None:
        """Record an answer; `answered` is set once all entries that were asked have answered."""
        self.answers.append(answer)
        if len(self.answers) >= self._entries_asked:
            self.answered.set()


class TurnClient:
    """Sends questions about turns to entries and collects the answers."""

    # Number of questions asked.
    asked: int

    def __init__(self, host: str, zone: str, documents: Documents, node: PeerNode) -> None:
        self.asked = 0
        self._host = host
        self._zone = zone
        self._documents = documents
        self._node = node
        self._question_numbers = itertools.count(1)
        self._questions: dict[int, _Question] = {}

    def receive(self, answer: TurnAnswer) -> None:
        """Record an answer; one to a question that is no longer pending is dropped."""
        question = self._questions.get(answer.question)
        if question is not None:
            question.add(answer)

    async def ask(self, kind: TurnKind, upstream: str, pool: str, digest: str) -> Turn:
        """Return whether an upstream may proceed, by the documents in force now.

        Waits up to ANSWER_TIMEOUT_SECONDS; without any answer the result is a refusal.
        """
        revisions = self._documents.revisions
        number = next(self._question_numbers)
        message = AskTurn(number, kind, upstream, pool, digest, revisions.fleet, revisions.hosts)
        entries = self._choose_entries()
        question = self._questions[number] = _Question(len(entries))
        self.asked += 1
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_SECONDS):
                while not question.answered.is_set():
                    for address in entries if not question.answers else []:
                        self._node.send(address, message)
                    with trio.move_on_after(RESEND_INTERVAL_SECONDS):
                        await question.answered.wait()
        finally:
            del self._questions[number]
        return merge_answers(question.answers)

    def _choose_entries(self) -> list[Address]:
        hosts = self._documents.hosts.hosts
        entries = {h.name: h for h in hosts if h.role == "entry" and not h.leaving}
        order = rendezvous_order(f"turns {self._host}", entries)
        order.sort(key=lambda name: entries[name].zone != self._zone)
        return [entries[name].control_address for name in order[:MAX_ENTRIES_ASKED]]


def merge_answers(answers: list[TurnAnswer]) -> Turn:
    """Return the most cautious answer, or a refusal if there is no answer.

    >>> merge_answers([]).now
    False
    >>> merge_answers([TurnAnswer(1, True, "", 0), TurnAnswer(1, False, "wait", 2)])
    Turn(now=False, reason='wait', before=2)
    """
    if not answers:
        return Turn(False, "no entry answers")
    most_cautious = max(answers, key=lambda answer: (not answer.now, answer.before))
    return Turn(most_cautious.now, most_cautious.reason, most_cautious.before)
