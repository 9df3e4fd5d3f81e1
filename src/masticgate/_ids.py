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
"""The number of one run of a host; a later run has a higher number."""

Revision = NewType("Revision", int)
"""The platform's number of one version of the operators' text."""

SnapshotVersion = NewType("SnapshotVersion", int)
"""The number of one published index snapshot."""

Millis = NewType("Millis", float)
"""A duration or a point on a clock, in milliseconds."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""The operators' number of one published configuration; a later one has a higher number."""

RequestId = NewType("RequestId", str)
"""The caller's id of one attempt at a request."""

RouteId = NewType("RouteId", str)

ConnectionNumber = NewType("ConnectionNumber", int)
"""The ordinal number of a connection to a searcher within one process, used in log lines."""
