"""Adapters to the platform; the only library that depends on its protocols."""
