"""Tests of news of losses between this release and the one before, whose messages are below."""

import msgspec
from headcross_gateway.attribution import Standing
from headcross_gateway.losses import Evidence, LossKey
from headcross_gateway.lossnews import SharedLosses
from headcross_gateway.requestidentity import RequestIdentity
from headcross_gateway.sharedtraits import SharedTrait, TraitKind
from headcross_wire.peermessages import LossNews, decode, encode

REQUEST = RequestIdentity(b"group---", b"scope---", b"body----")
PART = SharedTrait(TraitKind.PART, b"one part")
LOSSES = 3


class EarlierLostReplica(msgspec.Struct, array_like=True, frozen=True):
    """`LostReplica` of the release before."""

    replica: str
    started_ms: int | None
    age: float
    evidence: int = 1
    requests: list[bytes] = []


class EarlierGroupOutcomeNews(msgspec.Struct, array_like=True, frozen=True):
    """`GroupOutcomeNews` of the release before."""

    group: bytes
    lost: int
    answered: int


class EarlierLossNews(msgspec.Struct, array_like=True, frozen=True, tag=54):
    """`LossNews` of the release before."""

    lost: list[EarlierLostReplica] = []
    alive: list[EarlierLostReplica] = []
    answered: list[msgspec.Raw] = []
    host: str = ""
    groups: list[EarlierGroupOutcomeNews] = []


def test_news_of_the_release_before_are_read() -> None:
    lost = [
        EarlierLostReplica(f"i-{number}", None, 1.0, Evidence.ENDED, [REQUEST.to_bytes()])
        for number in range(LOSSES)
    ]
    groups = [EarlierGroupOutcomeNews(REQUEST.group, 3, 1)]
    news = decode(msgspec.msgpack.encode(EarlierLossNews(lost, host="entry0", groups=groups)))
    assert isinstance(news, LossNews)
    shared = SharedLosses()
    shared.receive(news, 100.0)
    assert shared.losses.standing(REQUEST, 100.0) is Standing.BARRED
    assert shared.rejected == 0


def test_the_release_before_reads_the_news_of_this_one() -> None:
    shared = SharedLosses()
    for number in range(LOSSES):
        key = LossKey(f"i-{number}", None)
        shared.blame(key, [REQUEST], number + 1.0, Evidence.ENDED, [PART], "lm")
    shared.note_shared_answer("lm", [PART], 5.0)
    news = shared.take_pending(5.0)
    assert news is not None and news.answered_traits
    earlier = msgspec.msgpack.decode(encode(news), type=EarlierLossNews)
    assert [lost.requests for lost in earlier.lost] == [[REQUEST.to_bytes()]] * LOSSES
    assert (earlier.host, earlier.groups) == ("", [])
