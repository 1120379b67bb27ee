"""Settings for all tests: the hypothesis profile."""

from hypothesis import settings

# No deadline per example: on a busy machine a process can be paused for 0.3 s, which exceeds the
# default of 0.2 s. A failure prints a blob that reproduces it.
settings.register_profile("headcross", deadline=None, print_blob=True)
settings.load_profile("headcross")
