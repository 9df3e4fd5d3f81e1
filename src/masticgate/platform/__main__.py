"""The entry point of ``python -m masticgate.platform``, which runs a gateway on the platform."""

from ._early_errors import report_early_errors
from ._loading import load_main
from ._signals import SignalQueue
from ._streams import open_missing_streams

open_missing_streams()
report_early_errors()

# The other modules take most of the start to load. A signal that arrives meanwhile would end the
# process, so that it is queued from here on.
signals = SignalQueue()

load_main(signals)(signals)
