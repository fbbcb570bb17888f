"""Node process that runs on every instance."""

from ebonyhaven_node._channel_metrics import ChannelMetrics
from ebonyhaven_node._channels import ChannelOptions, Channels
from ebonyhaven_node._digests import Digest, DigestSet, TableDigest, fit_entries
from ebonyhaven_node._frames import Frame, FrameError, FrameKind
from ebonyhaven_node._log_writer import LogOutput, configure_logs
from ebonyhaven_node._loops import start_loop
from ebonyhaven_node._membership import MembershipController
from ebonyhaven_node._own_record import make_own_record

__all__ = [
    "ChannelMetrics",
    "ChannelOptions",
    "Channels",
    "Digest",
    "DigestSet",
    "Frame",
    "FrameError",
    "FrameKind",
    "LogOutput",
    "MembershipController",
    "TableDigest",
    "configure_logs",
    "fit_entries",
    "make_own_record",
    "start_loop",
]
