"""A randomized soak test of the real programs, with faults injected from outside."""
