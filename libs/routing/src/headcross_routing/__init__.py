"""Request routing: admission, choice of an upstream, at-most-once hand-over, answer relay."""
