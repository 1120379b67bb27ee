"""Bringing the replica beside a daemon to the weights that the operators named."""
