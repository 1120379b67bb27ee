"""Claims the address of a process's listener before that listener is opened.

A second process with the same address would otherwise act for a moment, until it fails to bind.
"""

import socket

from headcross_base.addresses import Address


class AddressClaim:
    """A listening socket that holds an address; connections to it are reset on release."""

    def __init__(self, address: Address) -> None:
        """Claim an address; raise OSError if another process listens there."""
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        self._socket = socket.socket(family)
        try:
            # As the listener itself does: connections of an ended process do not count.
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.bind((address.ip, address.port))
            self._socket.listen()
        except OSError:
            self._socket.close()
            raise

    def release(self) -> None:
        """Free the address, so that this process can open its listener."""
        self._socket.close()
