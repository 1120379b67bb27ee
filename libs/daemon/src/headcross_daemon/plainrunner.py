"""Opens the gate of a plain service's upstream while the fleet file names the service.

A plain service loads no weights, so it serves as soon as the configuration is settled. The gate
closes at once when the host is leaving or the service is no longer in the fleet file.
"""

from headcross_fleet.documents import Documents
from headcross_fleet.following import ConfigFollower
from headcross_fleet.upstreamgate import LEAVING, SERVING, UpstreamGate


async def run_plain(
    gate: UpstreamGate, service: str, host: str, documents: Documents, follower: ConfigFollower
) -> None:
    """Open and close the gate until cancelled."""
    await follower.settled.wait()
    while True:
        listed = documents.hosts.find(host)
        wanted = service in documents.fleet.services and (listed is None or not listed.leaving)
        gate.set_state(SERVING if wanted else LEAVING, service)
        await documents.wait_change()
