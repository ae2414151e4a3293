"""Messages between processes."""

from cardamomshunt_node._transport import (
    PeerTransport,
    ReceivedMessage,
    TransportCounters,
)

__all__ = ["PeerTransport", "ReceivedMessage", "TransportCounters"]
