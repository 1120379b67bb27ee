"""The fleet file, its distribution to all processes, and the known state of all upstreams."""
