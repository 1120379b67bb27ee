"""The daemons: settings, wiring of the entry and upstream roles, administration API."""
