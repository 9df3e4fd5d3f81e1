"""Code and data that last for one version: the texts of deployments and their costs."""

from ._deployment import DEPLOYMENTS as DEPLOYMENTS
from ._deployment import SEARCHER_BEHAVIOUR as SEARCHER_BEHAVIOUR
from ._deployment import Deployment as Deployment
from ._deployment import mark_leaving as mark_leaving
from ._scaled_text import accept_configuration as accept_configuration
from ._scaled_text import flat_text as flat_text
from ._scaled_text import scaled_text as scaled_text
from ._version_costs import COPIES as COPIES
from ._version_costs import HOST_COUNTS as HOST_COUNTS
from ._version_costs import accept_calls as accept_calls
from ._version_costs import apply_calls as apply_calls
from ._version_costs import delta_bytes as delta_bytes
from ._version_costs import delta_calls as delta_calls
from ._version_costs import department_counts as department_counts
from ._version_costs import service_counts as service_counts
from ._version_costs import table_calls as table_calls
from ._version_costs import table_memory as table_memory
from ._version_costs import text_bytes as text_bytes
from ._version_costs import text_memory as text_memory
from ._version_costs import text_sizes as text_sizes
from ._version_costs import wide_table_calls as wide_table_calls
