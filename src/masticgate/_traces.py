"""Where an error arose, in a few words for one line of output.

The program loads this module before most others, so that it loads nothing itself.
"""

TYPE_CHECKING = False
if TYPE_CHECKING:
    from types import TracebackType

MAX_TRACE_FRAMES = 8
"""The number of innermost frames that are named."""


def name_frames(trace: "TracebackType | None") -> str:
    """Return the file and line of the innermost frames, from the innermost outwards."""
    places = []
    while trace is not None:
        file = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
        places.append(f"{file}:{trace.tb_lineno}")
        trace = trace.tb_next
    return " < ".join(reversed(places[-MAX_TRACE_FRAMES:]))
