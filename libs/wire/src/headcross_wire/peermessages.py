"""The messages between daemons, encoded as tagged MessagePack arrays.

The messages use two channels with separate sockets, so that chunks never delay control messages:
the control channel (documents, status, turns) and the swarm channel (chunks of weights). Messages
state facts and may arrive late, twice or never; none of them carries a caller's request. Array
encoding keeps them small: a status with one upstream has 112 bytes.
"""

from typing import Final, Literal

import msgspec
from headcross_base.decoding import MessagePackDecoder, Real
from headcross_base.errors import Failure

# A longer first frame is dropped without decoding. The longest message is a document, whose body
# has at most 1 MiB, the largest value that the configuration service holds.
MAX_MESSAGE_BYTES: Final = 1024 * 1024 + 64 * 1024


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """Common encoding options of all messages."""


class DocumentNotice(_Message, frozen=True, tag=1):
    """Announces a held document: sent on a change, and as a heartbeat to neighbours."""

    key: str  # of the document: the fleet file or the host list
    revision: int  # in the configuration service
    digest: str  # SHA-256 of the body
    accepted: int  # newest revision in force at the sender; below `revision` if that was rejected
    age: Real  # seconds since the service was last known to have nothing newer


class AskDocument(_Message, frozen=True, tag=2):
    """Requests the receiver's newest revision of a document."""

    key: str


class Document(_Message, frozen=True, tag=3):
    """One revision of a document, with its body."""

    key: str
    revision: int
    digest: str  # SHA-256 of the body, verified by the receiver
    age: Real
    body: bytes


class UpstreamStatus(_Message, frozen=True):
    """The state of one upstream, reported by the daemon on its host."""

    name: str
    state: str  # see headcross_fleet.upstreamgate; a plain service is "serving" or "leaving"
    pool: str  # current pool or service; empty if none
    digest: str  # of the weights that it serves; empty for plain services
    in_flight: int  # number of requests handed over to it that have not ended
    queued: int  # number of requests waiting in the daemon
    slots: int  # number of requests that may be handed over at the same time
    engine_load: Real  # reported by the engine, from 0 (idle) to 1 (full)
    engine_load_age: Real  # seconds since the engine reported its load
    progress: Real  # share of the weights being staged that has arrived, 0 to 1


class Status(_Message, frozen=True, tag=4):
    """The heartbeat of one upstream daemon."""

    host: str
    incarnation: int  # increases with every start of the daemon
    sequence: int  # increases with every message of one incarnation
    revision: int  # of the fleet file in force at the sender
    hosts_revision: int  # of the host list in force at the sender
    period: Real  # maximum seconds until the next heartbeat
    upstreams: list[UpstreamStatus]


TurnKind = Literal["swap", "leave", "stand-in"]


class AskTurn(_Message, frozen=True, tag=5):
    """Asks an entry whether an upstream may proceed; see headcross_rollout.turns."""

    question: int  # number repeated in the answer
    kind: TurnKind
    upstream: str
    pool: str
    digest: str  # of the pool's weights in the sender's fleet file
    revision: int  # of the sender's fleet file
    hosts_revision: int  # of the sender's host list


class TurnAnswer(_Message, frozen=True, tag=6):
    """Answers `AskTurn`."""

    question: int
    now: bool
    reason: str
    before: int  # number of upstreams whose turn is earlier


class ShutdownNotice(_Message, frozen=True, tag=7):
    """Sent by a daemon that stops as planned; its status becomes invalid at once."""

    host: str
    incarnation: int


class Join(_Message, frozen=True, tag=20):
    """Joins a transfer with a neighbour and states the sender's chunks; the answer is a `Join`."""

    host: str
    artifact: str
    bitmap: bytes  # one bit per chunk, lowest first; empty while the manifest is unknown
    wants_answer: bool  # whether the receiver is to answer


class Have(_Message, frozen=True, tag=21):
    """Announces chunks that the sender has acquired."""

    host: str
    artifact: str
    indexes: list[int]


class AskChunk(_Message, frozen=True, tag=22):
    """Requests one chunk."""

    host: str
    artifact: str
    index: int
    rate: Real = 0.0  # bytes per second that the sender's link can receive; 0 for no limit


class Chunk(_Message, frozen=True, tag=23):
    """One chunk or a part of it; the payload frame contains the bytes."""

    host: str
    artifact: str
    index: int
    offset: int  # of the payload within the chunk, in bytes
    size: int  # of the complete chunk, in bytes


class NoChunk(_Message, frozen=True, tag=24):
    """Refuses `AskChunk`: the sender lacks the chunk, or all its upload slots are in use."""

    host: str
    artifact: str
    index: int
    busy: bool  # whether all upload slots are in use


class AskManifest(_Message, frozen=True, tag=25):
    """Requests the manifest of an artifact."""

    artifact: str


class ManifestBody(_Message, frozen=True, tag=26):
    """Answers `AskManifest`; the payload frame contains the manifest."""

    artifact: str


class AskIntent(_Message, frozen=True, tag=27):
    """Asks a host that should import chunks before the sender whether it is doing so."""

    host: str
    artifact: str
    indexes: list[int]
    # Set by the first host of a region: only imports from the origin count. Otherwise the first
    # hosts of two regions would wait for each other.
    origin_only: bool


class Intent(_Message, frozen=True, tag=28):
    """Answers `AskIntent`: the chunks that the sender has, and those that it will import."""

    host: str
    artifact: str
    has: list[int]
    pending: list[int]


class PublishedItem(_Message, frozen=True):
    """One item as published by the platform."""

    key: str
    revision: int
    value: bytes


class AskRevision(_Message, frozen=True, tag=50):
    """Asks which revision of a topic the receiver knows; always answered."""

    topic: str


class KnownRevision(_Message, frozen=True, tag=51):
    """Answers `AskRevision`."""

    topic: str
    revision: int  # -1 if the sender has no listing of the topic
    age: Real  # seconds since the sender knew this to be the newest state
    epoch: int = -1  # in which the revision was given out; -1 if unknown


class AskFacts(_Message, frozen=True, tag=40):
    """Requests a topic if the receiver knows a newer state than this revision."""

    topic: str
    revision: int
    epoch: int = -1  # of the revision; -1 if unknown


class TopicFacts(_Message, frozen=True, tag=41):
    """All items of a topic known to the sender; none if it knows nothing newer."""

    topic: str
    revision: int
    age: Real  # seconds since the sender knew this to be the newest state
    items: list[PublishedItem]
    epoch: int = -1  # of the revisions; -1 if unknown


class MirrorLocation(_Message, frozen=True):
    """The address and zone of a process that mirrors weights."""

    ip: str  # identifies it in the swarm
    zone: str


class WeightsPlan(_Message, frozen=True):
    """The part of a configuration needed by daemons of replicas."""

    version: int  # of the configuration
    models: dict[str, str]  # model served by the replicas, by service
    origin: str  # of weights, IP:PORT; empty if the configuration has none


class NamedVersionNews(_Message, frozen=True):
    """A model version that the operators named."""

    model: str
    version: int
    age: Real  # seconds since the sender learned of it as a new version


class LoadedVersionNews(_Message, frozen=True):
    """A model version that the receiver's replica has loaded."""

    model: str
    version: int
    age: Real  # seconds since the sender learned of it


class LoadVerdict(_Message, frozen=True):
    """What the sender knows about one load of a replica."""

    replica: str  # id of the replica
    started_ms: int | None  # start of the incarnation, Unix milliseconds; None if unknown
    # Number of orders that the incarnation had accepted, the load's included; None if unknown.
    orders: int | None
    model: str
    version: int
    intact: bool  # False if the load was found bad


class Subscribe(_Message, frozen=True, tag=42):
    """Sent by an entry to a daemon: its name, news for the daemon, and the reports it wants."""

    host: str
    mirror: MirrorLocation | None = None  # of the sender, if it mirrors weights
    wants_mirrors: bool = False  # requests one `KnownMirrors`
    plan: WeightsPlan | None = None  # from the configuration in force at the sender
    wants_load: bool = True  # requests `ReplicaLoad` messages for some seconds
    # The sender's clock in milliseconds, returned in `ReplicaLoad`; 0 if it is not needed.
    sent_ms: int = 0
    named: list[NamedVersionNews] = []  # versions that were recently the newest
    loaded: list[LoadedVersionNews] = []  # versions recently loaded by the receiver's replica
    wants_losses: bool = False  # requests one `LossNews` with all known losses
    # Seconds since the sender first received a report of the receiver's replica; None if it never
    # did.
    first_heard_age: Real | None = None
    verdicts: list[LoadVerdict] = []  # on loads of the receiver's replica


class AskPlan(_Message, frozen=True, tag=47):
    """Asks an entry for the part of the configuration that daemons need."""


class KnownPlan(_Message, frozen=True, tag=48):
    """Answers `AskPlan`; sent only by an entry that has a configuration."""

    plan: WeightsPlan


class KnownMirrors(_Message, frozen=True, tag=46):
    """The mirrors that the sender has recently learned of."""

    mirrors: list[MirrorLocation]


class ReplicaLoad(_Message, frozen=True, tag=43):
    """The state of the sender's replica, which the sender has just read."""

    address: str  # of the replica, IP:PORT
    sequence: int  # increases with every message of one incarnation of the sender
    reachable: bool  # whether the replica answered
    leaving: bool  # takes no new requests: an order is imminent or being executed
    versions: dict[str, int]  # loaded version by model
    active: int  # number of requests being processed
    queued: int  # number of requests waiting
    memory_share: Real  # share of the memory in use, 0 to 1
    pace: Real  # above 1: slower than expected
    listeners: int  # number of processes that receive this report
    named: list[NamedVersionNews] = []  # versions that were recently the newest
    # `sent_ms` of the newest subscription from the receiver.
    subscribed_ms: int = 0
    # Start of the reported incarnation of the replica, in Unix milliseconds; None if unknown.
    started_ms: int | None = None
    # Versions by model, verified to have been intact when loaded, or found not to be.
    confirmed: dict[str, int] = {}
    suspect: dict[str, int] = {}
    ends: bool = False  # the replica announced that it leaves, final for the incarnation
    # Number of orders that the incarnation has accepted; None if unknown.
    orders: int | None = None


class RefusedNews(_Message, frozen=True, tag=49):
    """Requests refused by the sender since its last such message; see headcross_gateway."""

    fingerprints: list[int]


class LostReplica(_Message, frozen=True):
    """One incarnation of a replica that was lost, or was believed to be."""

    replica: str  # id of the replica
    started_ms: int | None  # start of the incarnation, Unix milliseconds; None if unknown
    age: Real  # seconds since it was lost, or was found alive
    evidence: int = 1  # value of Evidence; see headcross_gateway
    requests: list[bytes] = []  # identities of requests that ran there; see headcross_gateway
    shared_traits: list[bytes] = []  # that these requests may share with others
    service: str = ""  # of the replica; empty if unknown


class AnsweredRequest(_Message, frozen=True):
    """A request that was blamed for losses and has been answered completely."""

    request: bytes  # identity of the request
    age: Real  # seconds since the answer


class TraitAge(_Message, frozen=True):
    """A trait that requests may share, and something that happened to one of them."""

    trait: bytes  # see headcross_gateway
    age: Real  # seconds since then


class LossNews(_Message, frozen=True, tag=54):
    """Lost replicas and the requests that ran on them, as known to the sender."""

    lost: list[LostReplica] = []
    alive: list[LostReplica] = []
    answered: list[AnsweredRequest] = []
    # Only sent by earlier releases and not read: messages are arrays, so fields keep their places.
    host: str = ""
    groups: list[msgspec.Raw] = []
    # Traits that were blamed for losses, and of which a request has been answered completely.
    answered_traits: list[TraitAge] = []
    # Blamed traits of which requests were answered lately; approximate, so it clears no loss.
    known_traits: list[TraitAge] = []
    # Traits because of which requests are refused, and were last refused.
    refused_traits: list[TraitAge] = []
    # The number of the `AskLosses` that this answers with all that the sender knows.
    answered_number: int | None = None


class AskLosses(_Message, frozen=True, tag=56):
    """Asks an entry for all losses that it knows."""

    number: int  # repeated in the answer


class ReplicaBackpressure(_Message, frozen=True):
    """The backpressure that one incarnation of a replica asks of all entries."""

    replica: str  # id of the replica
    started_ms: int | None  # start of the incarnation, Unix milliseconds; None if unknown
    age: Real  # seconds since it stated its limit
    limit: Real | None  # requests per second from all entries together; None if it states none
    leaving: bool = False  # this incarnation takes no new requests any more


class ReplicaNews(_Message, frozen=True, tag=55):
    """Backpressure that the sender learned from answers of replicas."""

    items: list[ReplicaBackpressure] = []


class AskLoads(_Message, frozen=True, tag=57):
    """Asks an entry what it knows about the loads of some replicas."""

    replicas: list[str]  # ids


class LoadNews(_Message, frozen=True, tag=58):
    """Answers `AskLoads`; loads of which the sender knows nothing are left out."""

    verdicts: list[LoadVerdict] = []


class AskDigests(_Message, frozen=True, tag=44):
    """Requests the digests of a version from a daemon, at once or when it knows them."""

    weights: str
    host: str = ""  # IP address of the sender


class KnownDigests(_Message, frozen=True, tag=45):
    """The digests of a version's chunks, in order, that the sender uses."""

    weights: str
    chunk_bytes: int
    digests: list[str]


ControlMessage = (
    DocumentNotice
    | AskDocument
    | Document
    | Status
    | AskTurn
    | TurnAnswer
    | ShutdownNotice
    | AskRevision
    | KnownRevision
    | AskFacts
    | TopicFacts
    | Subscribe
    | ReplicaLoad
    | AskDigests
    | KnownDigests
    | KnownMirrors
    | AskPlan
    | KnownPlan
    | RefusedNews
    | LossNews
    | AskLosses
    | ReplicaNews
    | AskLoads
    | LoadNews
)
SwarmMessage = (
    Join | Have | AskChunk | Chunk | NoChunk | AskManifest | ManifestBody | AskIntent | Intent
)
PeerMessage = ControlMessage | SwarmMessage

_DECODER: Final[MessagePackDecoder[PeerMessage]] = MessagePackDecoder(
    PeerMessage, MAX_MESSAGE_BYTES
)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: PeerMessage) -> bytes:
    """Return the encoded bytes of a message.

    >>> decode(encode(AskDocument("fleet")))
    AskDocument(key='fleet')
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage | None:
    """Return the message decoded from `data`, or None if it is invalid.

    >>> decode(b"junk") is None
    True
    """
    message = _DECODER.decode(data)
    return None if isinstance(message, Failure) else message.value
