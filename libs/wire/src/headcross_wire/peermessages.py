"""The messages between daemons, as MessagePack arrays with a tag.

Two channels carry them, each on a socket of its own so that chunks never delay control: the
control channel (documents, status, turns) and the swarm channel (chunks of weights). Messages
are facts that may come late, twice or never; none of them carries a caller's request. Sizes are
kept small by array encoding: a status of one upstream took 112 bytes where it was measured.
"""

from typing import Final, Literal

import msgspec

# A message head longer than this is dropped before it is decoded. The longest is a document, whose
# body has at most a megabyte (source: brief, values of the configuration service).
MAX_MESSAGE_BYTES: Final = 1024 * 1024 + 64 * 1024


class _Message(msgspec.Struct, array_like=True, frozen=True):
    """Common options of all messages."""


class DocumentNotice(_Message, frozen=True, tag=1):
    """ "I hold this document": sent on a change, and as a heartbeat to neighbours."""

    key: str  # which document: the fleet file or the host list
    revision: int  # revision of the configuration service
    digest: str  # SHA-256 of the body
    accepted: int  # newest revision in force at the sender; below `revision` if that was rejected
    age: float  # seconds since the service was known to have nothing newer


class AskDocument(_Message, frozen=True, tag=2):
    """Ask a peer for the body of the newest document it holds."""

    key: str


class Document(_Message, frozen=True, tag=3):
    """A document's whole body."""

    key: str
    revision: int
    digest: str  # SHA-256 of the body, checked by the receiver
    age: float
    body: bytes


class UpstreamStatus(_Message, frozen=True):
    """The state of one upstream, told by the daemon beside it."""

    name: str
    state: str  # a State of headcross_rollout, or "serving" / "leaving" of a plain service
    pool: str  # pool or service it belongs to now, empty if none
    digest: str  # weights digest it serves, empty for plain services
    in_flight: int  # requests handed over and not ended
    queued: int  # requests waiting in the daemon
    slots: int  # requests that may be handed over at once
    engine_load: float  # the engine's own report, 0 idle to 1 full
    engine_load_age: float  # seconds since the engine made that report
    progress: float  # share of the staged weights that is here, 0 to 1


class Status(_Message, frozen=True, tag=4):
    """The heartbeat of one upstream daemon."""

    host: str
    incarnation: int  # grows with every start of the daemon
    sequence: int  # grows with every message of one incarnation
    revision: int  # fleet file in force there
    hosts_revision: int  # host list in force there
    period: float  # seconds until the next heartbeat at the latest
    upstreams: list[UpstreamStatus]


TurnKind = Literal["swap", "leave", "stand-in"]


class AskTurn(_Message, frozen=True, tag=5):
    """Ask an entry whether an upstream may move; see headcross_rollout.turns."""

    question: int
    kind: TurnKind
    upstream: str
    pool: str
    digest: str  # the pool's weights by the asker's fleet file
    revision: int  # fleet file the asker goes by
    hosts_revision: int  # host list the asker goes by


class TurnAnswer(_Message, frozen=True, tag=6):
    """An entry's answer to `AskTurn`."""

    question: int
    now: bool
    reason: str
    before: int  # how many upstreams go before this one


class ShutdownNotice(_Message, frozen=True, tag=7):
    """A daemon that stops on purpose takes its status back at once."""

    host: str
    incarnation: int


class Join(_Message, frozen=True, tag=20):
    """Enter a transfer with a neighbour: what the sender has; the receiver answers in kind."""

    host: str
    artifact: str
    bitmap: bytes  # one bit a chunk, lowest first; empty while the manifest is unknown
    wants_answer: bool


class Have(_Message, frozen=True, tag=21):
    """The sender has these chunks now."""

    host: str
    artifact: str
    indexes: list[int]


class AskChunk(_Message, frozen=True, tag=22):
    """Ask for one chunk."""

    host: str
    artifact: str
    index: int
    rate: float = 0.0  # bytes a second that the asker's link takes; 0 for no bound


class Chunk(_Message, frozen=True, tag=23):
    """One chunk, or a part of it; the bytes are the payload frame."""

    host: str
    artifact: str
    index: int
    offset: int  # of the payload within the chunk, bytes
    size: int  # of the whole chunk, bytes


class NoChunk(_Message, frozen=True, tag=24):
    """The chunk is not sent: not here, or all upload slots are taken."""

    host: str
    artifact: str
    index: int
    busy: bool


class AskManifest(_Message, frozen=True, tag=25):
    """Ask for the manifest of an artifact."""

    artifact: str


class ManifestBody(_Message, frozen=True, tag=26):
    """A manifest; its bytes are the payload frame."""

    artifact: str


class AskIntent(_Message, frozen=True, tag=27):
    """Ask a host that should bring in chunks before the sender whether it is at work on them."""

    host: str
    artifact: str
    indexes: list[int]
    # Asked by a region's first host: only bringing in from the origin counts. Two regions' first
    # hosts would otherwise wait for each other.
    origin_only: bool


class Intent(_Message, frozen=True, tag=28):
    """The answer to `AskIntent`: chunks the sender has, and chunks it will still bring in."""

    host: str
    artifact: str
    has: list[int]
    pending: list[int]


class PublishedItem(_Message, frozen=True):
    """One item that the platform published, as it was read."""

    key: str
    revision: int
    value: bytes


class AskRevision(_Message, frozen=True, tag=50):
    """Ask how much the receiver knows of a topic; it always answers."""

    topic: str


class KnownRevision(_Message, frozen=True, tag=51):
    """The answer to `AskRevision`."""

    topic: str
    revision: int  # -1 when it knows nothing
    age: float  # seconds since the sender knew this to be the newest state


class AskFacts(_Message, frozen=True, tag=40):
    """Ask for a topic if the receiver knows a newer state of it than this revision."""

    topic: str
    revision: int


class TopicFacts(_Message, frozen=True, tag=41):
    """A whole topic as the sender knows it; without items when it knows nothing newer."""

    topic: str
    revision: int
    age: float  # seconds since the sender knew this to be the newest state
    items: list[PublishedItem]


class MirrorLocation(_Message, frozen=True):
    """Where a process that mirrors weights stands."""

    ip: str  # names it in the swarm
    zone: str


class WeightsPlan(_Message, frozen=True):
    """The part of a configuration that daemons beside replicas need."""

    version: int  # of the configuration
    models: dict[str, str]  # service to the model that its replicas serve
    origin: str  # of the weights, IP:PORT; empty if the configuration names none


class NamedVersionNews(_Message, frozen=True):
    """A version that the operators named."""

    model: str
    version: int
    age: float  # seconds since the sender learned of it, when it was new


class LoadedVersionNews(_Message, frozen=True):
    """A version that the replica beside the receiver came to hold."""

    model: str
    version: int
    age: float  # seconds since the sender learned of it


class Subscribe(_Message, frozen=True, tag=42):
    """What an entry tells a daemon: who it is, what the daemon needs, what it wants to hear."""

    host: str
    mirror: MirrorLocation | None = None  # the sender's own, if it mirrors weights
    wants_mirrors: bool = False  # also tell, once, which mirrors are known
    plan: WeightsPlan | None = None  # by the configuration in force at the sender
    wants_load: bool = True  # the replica's state, for some seconds
    # The sender's own clock, told back with the replica's state; 0 where that is of no use now.
    sent_ms: int = 0
    named: list[NamedVersionNews] = []  # versions that were the newest lately
    loaded: list[LoadedVersionNews] = []  # what the receiver's replica came to hold lately
    wants_losses: bool = False  # also tell, once, the losses that are known
    # Seconds since the sender first heard a process beside that replica; None if it never did.
    first_heard_age: float | None = None


class AskPlan(_Message, frozen=True, tag=47):
    """Ask an entry for the part of the configuration that daemons need."""


class KnownPlan(_Message, frozen=True, tag=48):
    """The answer to `AskPlan` of an entry that has a configuration."""

    plan: WeightsPlan


class KnownMirrors(_Message, frozen=True, tag=46):
    """The mirrors that the sender heard of lately."""

    mirrors: list[MirrorLocation]


class ReplicaLoad(_Message, frozen=True, tag=43):
    """The state of the replica beside the sender, read a moment ago."""

    address: str  # of the replica, IP:PORT
    sequence: int  # grows with every message of one life of the sender
    reachable: bool  # whether the replica answered
    leaving: bool  # it takes no new requests: an order is about to be, or being, carried out
    versions: dict[str, int]  # model to version
    active: int  # requests being worked on
    queued: int
    memory_share: float  # 0 to 1
    pace: float  # above 1: slower than it should be
    listeners: int  # processes that are told this
    named: list[NamedVersionNews] = []  # versions that were the newest lately
    # `sent_ms` of the newest subscription that has come from the process that is told this.
    subscribed_ms: int = 0
    # When the life of the replica that this speaks of began, Unix milliseconds; None: not told.
    started_ms: int | None = None
    # Versions by model that are known to have been whole as they were loaded, or are not.
    confirmed: dict[str, int] = {}
    suspect: dict[str, int] = {}
    ends: bool = False  # the replica said that it leaves, which holds for the rest of its life


class RefusedNews(_Message, frozen=True, tag=49):
    """Requests that the sender has refused since it last told; see headcross_gateway."""

    fingerprints: list[int]


class LostReplica(_Message, frozen=True):
    """One life of a replica that was lost, or was thought to be."""

    replica: str  # its id
    started_ms: int | None  # when that life began, Unix milliseconds; None: not told
    age: float  # seconds since it was lost, or was found alive
    evidence: int = 1  # how well it is known; see headcross_gateway
    requests: list[bytes] = []  # identities of requests that were there; see headcross_gateway


class AnsweredRequest(_Message, frozen=True):
    """A request that had been blamed for losses and was answered whole."""

    request: bytes  # its identity
    age: float  # seconds since the answer


class GroupEnds(_Message, frozen=True):
    """How requests of one team on one route ended at the sender lately."""

    group: bytes  # see headcross_gateway
    lost: int
    answered: int


class LossNews(_Message, frozen=True, tag=54):
    """Which requests replicas were lost under, as the sender knows it."""

    lost: list[LostReplica] = []
    alive: list[LostReplica] = []
    answered: list[AnsweredRequest] = []
    host: str = ""  # of the sender of the next
    groups: list[GroupEnds] = []


class ReplicaBackpressure(_Message, frozen=True):
    """What one life of a replica asks of all entries."""

    replica: str  # its id
    started_ms: int | None  # when that life began, Unix milliseconds; None: not told
    age: float  # seconds since it spoke of its limit
    limit: float | None  # requests a second from all entries together; None: it names none
    leaving: bool = False  # it takes nothing new for the rest of that life


class ReplicaNews(_Message, frozen=True, tag=55):
    """What replicas ask, as their answers told the sender."""

    items: list[ReplicaBackpressure] = []


class AskDigests(_Message, frozen=True, tag=44):
    """Ask a daemon for the digests of a version, now or once it knows them."""

    weights: str
    host: str = ""  # IP number of the asker


class KnownDigests(_Message, frozen=True, tag=45):
    """The digests of a version's chunks, in order, as the sender goes by them."""

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
    | ReplicaNews
)
SwarmMessage = (
    Join | Have | AskChunk | Chunk | NoChunk | AskManifest | ManifestBody | AskIntent | Intent
)
PeerMessage = ControlMessage | SwarmMessage

_DECODER: Final = msgspec.msgpack.Decoder(PeerMessage)
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: PeerMessage) -> bytes:
    """Return the bytes of a message.

    >>> decode(encode(AskDocument("fleet")))
    AskDocument(key='fleet')
    """
    return _ENCODER.encode(message)


def decode(data: bytes) -> PeerMessage | None:
    """Return the message that `data` holds, or None if it holds none.

    >>> decode(b"junk") is None
    True
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
