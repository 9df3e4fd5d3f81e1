"""Types of ids, versions and times that are used throughout the package."""

from typing import NewType

Address = NewType("Address", str)
"""An IPv4 address and a port, such as ``127.0.0.1:7001``."""

DepartmentId = NewType("DepartmentId", str)
FailureDomainId = NewType("FailureDomainId", str)
HostId = NewType("HostId", str)
QueryId = NewType("QueryId", str)
SearcherId = NewType("SearcherId", str)
ServiceId = NewType("ServiceId", str)
ShardId = NewType("ShardId", str)
TicketId = NewType("TicketId", str)

Incarnation = NewType("Incarnation", int)
"""The number of one run of a host's process; a later run has a higher number."""

Revision = NewType("Revision", int)
"""The number that the platform gives to a version of what it publishes; later ones are higher.

If a gateway relays the platform's catalogue, that gateway numbers the changes instead.
"""

StoreEra = NewType("StoreEra", int)
"""The number of the platform's store since its last restore from a copy; later ones are higher."""

SnapshotVersion = NewType("SnapshotVersion", int)
"""The number of one published index snapshot."""

Millis = NewType("Millis", float)
"""A duration or a point on a clock, in milliseconds."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""The number that operators gave to a configuration; a later configuration has a higher one."""

RequestId = NewType("RequestId", str)
"""The caller's id of a request; if the caller repeats the request, it uses another id."""

RouteId = NewType("RouteId", str)

ConnectionNumber = NewType("ConnectionNumber", int)
"""The number of a connection to a searcher, counted within one process, for log lines."""
