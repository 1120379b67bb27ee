"""Adapters to the platform. Every guess about an outside protocol lives here and nowhere else."""
