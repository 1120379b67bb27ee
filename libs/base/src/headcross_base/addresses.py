"""Network addresses: an IP address and a port, written `10.0.0.1:7000`.

Processes may connect to each other by IP address only, so host names are rejected here, once for
all settings.
"""

import ipaddress
from dataclasses import dataclass
from typing import Final

from headcross_base.decoding import parse_whole_number

MAX_PORT: Final = 65535


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address with a port."""

    ip: str  # IPv4 or IPv6 in its shortest form, without brackets
    port: int  # 0 in a listener's settings means "any free port"

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"

    @property
    def zmq(self) -> str:
        """The ZeroMQ endpoint of this address."""
        return f"tcp://{self}"


def parse_address(text: str) -> Address:
    """Parse `IP:PORT`; raise ValueError if `text` has another form.

    >>> parse_address("127.0.0.1:80")
    Address(ip='127.0.0.1', port=80)
    >>> parse_address("localhost:80")
    Traceback (most recent call last):
    ...
    ValueError: 'localhost:80' is not IP:PORT: 'localhost' does not appear to be an IPv4 or IPv6 \
address
    """
    ip, colon, port = text.rpartition(":")
    number = parse_whole_number(port)
    if not colon or number is None or number > MAX_PORT:
        raise ValueError(f"{text[:100]!r} is not IP:PORT")
    try:
        parsed_ip = ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise ValueError(f"{text!r} is not IP:PORT: {error}") from None
    return Address(str(parsed_ip), number)
