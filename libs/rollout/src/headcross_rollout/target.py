"""Target weights of upstreams, computed from the documents in force."""

from dataclasses import dataclass

from headcross_fleet.documents import Documents
from headcross_fleet.fleetfile import (
    Artifact,
    FleetFile,
    Pool,
    pool_artifacts,
)
from headcross_native.engine import serving_digest
from headcross_native.hostlist import HostList

from headcross_rollout.placement import Placement, compute_placement


@dataclass(frozen=True, slots=True)
class Target:
    """The weights that one upstream is to serve."""

    revision: int
    pool: str
    artifacts: tuple[Artifact, ...]
    digest: str  # combined digest of all artifacts
    origin_copies: int


class Targets:
    """Targets of all upstreams; the placement is computed once for each pair of documents."""

    def __init__(self, documents: Documents) -> None:
        self._documents = documents
        self._placement_inputs: tuple[FleetFile, HostList] | None = None
        self._placement = Placement()

    @property
    def placement(self) -> Placement:
        """The placement for the documents in force."""
        current = (self._documents.fleet, self._documents.hosts)
        if self._placement_inputs is None or any(
            old is not new for old, new in zip(self._placement_inputs, current, strict=True)
        ):
            self._placement = compute_placement(*current)
            self._placement_inputs = current
        return self._placement

    def of_upstream(self, upstream: str) -> Target | None:
        """Return the target of an upstream, or None if no pool is assigned to it."""
        pool = self.placement.pool_by_upstream.get(upstream)
        return None if pool is None else self.of_pool(pool)

    def of_pool(self, name: str) -> Target:
        """Return the target of all upstreams of a pool, which must be in the fleet file."""
        pool = self._documents.fleet.pools[name]
        artifacts = pool_artifacts(self._documents.fleet, pool)
        digest = serving_digest([artifact.digest for artifact in artifacts])
        return Target(self._documents.revision, name, tuple(artifacts), digest, pool.origin_copies)

    def pool(self, name: str) -> Pool | None:
        """Return a pool of the fleet file in force, or None if it has no such pool."""
        return self._documents.fleet.pools.get(name)

    def hosts_needing(self, artifact: Artifact) -> list[str]:
        """Return the hosts with an upstream assigned to a pool that includes the artifact."""
        pools = [
            name
            for name, pool in self._documents.fleet.pools.items()
            if artifact in pool_artifacts(self._documents.fleet, pool)
        ]
        upstreams = {u for name in pools for u in self.placement.pools[name].assigned}
        return [
            host.name
            for host in self._documents.hosts.hosts
            if any(upstream.name in upstreams for upstream in host.upstreams)
        ]

    def pool_with_digest(self, digest: str, preferred: str | None) -> str | None:
        """Return a pool that weights with this digest belong to, or None; try `preferred` first.

        The weights may be of any version that the fleet file lists for the pool's model.
        """
        names = list(self._documents.fleet.pools)
        if preferred in names:
            names.insert(0, preferred)
        return next((name for name in names if digest in self._known_digests(name)), None)

    def _known_digests(self, name: str) -> set[str]:
        fleet = self._documents.fleet
        pool = fleet.pools[name]
        digests = {weights.digest for weights in fleet.models[pool.model].versions.values()}
        return digests | {self.of_pool(name).digest}
