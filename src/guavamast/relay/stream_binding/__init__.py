"""Streams go on only at the service and software version that began them."""

from guavamast.relay.stream_binding.components import StreamBindings
from guavamast.relay.stream_binding.decision import TakeUp, TakeUpOutcome
from guavamast.relay.stream_binding.directory import BindingDirectory, Lookup
from guavamast.relay.stream_binding.recorder import TakeUpRecorder
from guavamast.relay.stream_binding.records import (
    BoundStream,
    StreamBinding,
    StreamSource,
    compute_stream_key,
)
from guavamast.relay.stream_binding.take_up import StreamTakeUps
from guavamast.relay.stream_binding.versions import SoftwareVersions
from guavamast.relay.stream_binding.wire import BINDING_PREFIX

__all__ = [
    "BINDING_PREFIX",
    "BindingDirectory",
    "BoundStream",
    "Lookup",
    "SoftwareVersions",
    "StreamBinding",
    "StreamBindings",
    "StreamSource",
    "StreamTakeUps",
    "TakeUp",
    "TakeUpOutcome",
    "TakeUpRecorder",
    "compute_stream_key",
]
