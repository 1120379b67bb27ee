"""An entry that calls replicas directly: routes, places, attempts, streams, answers."""
