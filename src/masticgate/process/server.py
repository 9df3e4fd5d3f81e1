"""Puts an entry host together. The rest of :mod:`masticgate.process` opens no socket."""

from ._server import Host as Host
