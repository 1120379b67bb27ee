"""A randomized soak of the real programs, with faults injected from outside them."""
