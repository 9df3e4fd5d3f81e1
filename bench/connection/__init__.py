"""What lives for one caller's connection."""

from ._caller import Caller as Caller
