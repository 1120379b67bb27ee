"""Weight transfer: manifests, the store of verified chunks, and the peer-to-peer swarm."""
