"""The id types that every life span shares."""

from typing import NewType

Address = NewType("Address", str)
"""An IP number and a port, ``127.0.0.1:7001``."""

DepartmentId = NewType("DepartmentId", str)
FailureDomainId = NewType("FailureDomainId", str)
HostId = NewType("HostId", str)
QueryId = NewType("QueryId", str)
SearcherId = NewType("SearcherId", str)
ServiceId = NewType("ServiceId", str)
ShardId = NewType("ShardId", str)
TicketId = NewType("TicketId", str)

Incarnation = NewType("Incarnation", int)
"""Distinguishes two runs of one host; a later run has the higher number."""

Revision = NewType("Revision", int)
"""The platform's number for one state of the operators' text."""

SnapshotVersion = NewType("SnapshotVersion", int)
"""The number of one published index snapshot."""

Millis = NewType("Millis", float)
"""A duration or a point on a clock, in milliseconds."""

ConfigurationVersion = NewType("ConfigurationVersion", int)
"""The operators' number for one published configuration; later ones are higher."""

RequestId = NewType("RequestId", str)
"""The caller's name for one attempt at a request."""

RouteId = NewType("RouteId", str)

ConnectionNumber = NewType("ConnectionNumber", int)
"""Counts the connections to searchers that a process has opened; log lines name them by it."""
