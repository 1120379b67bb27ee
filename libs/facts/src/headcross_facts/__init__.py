"""Keeps a process up to date with the platform's store, or with its peers if the store fails."""
