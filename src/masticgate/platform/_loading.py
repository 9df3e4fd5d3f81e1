"""Loads the modules of the program, which want of descriptors or memory may prevent for a while.

The program imports this module before most others, so that it loads little itself.
"""

import sys

from ._early_errors import print_error
from ._signals import SignalQueue

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable

RETRY_INTERVAL_S = 0.5


def load_main(signals: SignalQueue) -> "Callable[[SignalQueue], None]":
    """Return the function that runs a gateway; after an error, try again to load its modules.

    :raises SystemExit: a signal to stop has arrived meanwhile.
    """
    while not signals.stop_requested:
        try:
            from ._serve import main

            return main
        except (OSError, MemoryError) as error:
            print_error(f"loading failed and is tried again: {error!r}")
        signals.wait_for_stop(RETRY_INTERVAL_S)
    sys.exit()
