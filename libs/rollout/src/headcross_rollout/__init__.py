"""Rollouts: placement of pools on upstreams, the order of version changes, engine orders."""
