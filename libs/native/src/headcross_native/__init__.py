"""Adapters to the platform; the only place that assumes anything about external protocols."""
