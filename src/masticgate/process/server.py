"""The public name of an entry host, which opens the sockets of its process.

It is kept out of :mod:`masticgate.process`, whose public names open no sockets.
"""

from ._server import Host as Host
