"""Stand-ins for the systems around an entry host, and the harness that runs them in tests.

An entry host serves callers and sends their requests on to searchers. The stand-ins are the
searchers and the platform, which publishes the configuration, the snapshots and the host list.
Each process of stand-ins has a control address, through which a test changes their behaviour and
reads their counts.
"""
