"""Gateway: admits callers' requests and sends them to replicas directly."""
