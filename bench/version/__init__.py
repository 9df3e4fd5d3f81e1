"""What lives for one version: a deployment's text, its sizes and its shard maps."""

from ._deployment import DEPLOYMENTS as DEPLOYMENTS
from ._deployment import SEARCHER_KNOBS as SEARCHER_KNOBS
from ._deployment import Deployment as Deployment
from ._deployment import mark_leaving as mark_leaving
