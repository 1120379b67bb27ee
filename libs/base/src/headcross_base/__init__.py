"""Base types shared by all headcross libraries: verdicts, errors, digests, clocks and logging."""
