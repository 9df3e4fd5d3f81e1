"""The configuration that the platform publishes for gateways: routes, services and limits."""

from ._routes import Idempotency as Idempotency
from ._routes import Limits as Limits
from ._routes import OneService as OneService
from ._routes import Route as Route
from ._routes import RouteTable as RouteTable
from ._routes import ServiceEntry as ServiceEntry
from ._routes import Shards as Shards
from ._routes import Split as Split
from ._routes import Target as Target
from ._routes import WeightedService as WeightedService
