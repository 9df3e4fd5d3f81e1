"""Admission control: which requests are sent, wait or are refused while searchers are full.

The decisions are pure functions and objects without a clock, and :class:`Gate` applies them. A
request is sent at once as long as a searcher has room for it; only then does any of this matter.
"""

from ._gate import Gate as Gate
