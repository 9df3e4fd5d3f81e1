"""The public name of an entry host, which opens the sockets of its process.

It is apart from :mod:`masticgate.process`, whose other modules open no socket.
"""

from ._server import Host as Host
