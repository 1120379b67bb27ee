"""The read-only command-line tool: checks fleet files, plans changes and watches rollouts."""
