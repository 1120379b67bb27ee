"""Transports: typed messages over ZeroMQ between daemons, HTTP/1.1 to all other processes."""
