"""What the program says on standard error about an end for which it has no log.

The program imports this module before most others, so that it loads little itself.
"""

import faulthandler
import os
import sys

from .._traces import name_frames

TYPE_CHECKING = False
if TYPE_CHECKING:
    from types import TracebackType

STANDARD_ERROR = 2


def report_early_errors() -> None:
    """Report errors of native code, and the error that ends the program before it has a log.

    A fatal signal leaves the stack of the thread that received it, any other error one line.
    """
    # The other threads run on, and their stacks cannot be read safely meanwhile.
    faulthandler.enable(STANDARD_ERROR, all_threads=False)
    sys.excepthook = _report


def print_error(text: str) -> None:
    """Print one line; a standard error that cannot be written to is ignored."""
    line = " ".join(text.split())
    try:
        os.write(STANDARD_ERROR, f"masticgate: {line}\n".encode(errors="backslashreplace"))
    except OSError:
        return


def _report(kind: type[BaseException], error: BaseException, trace: "TracebackType | None") -> None:
    print_error(f"the process ends by an error: {error!r} at {name_frames(trace)}")
