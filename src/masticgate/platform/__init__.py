"""The adapter between a gateway and the platform on which it runs.

It only translates, and makes no decisions. The names of the platform's headers, keys and fields
occur only in this package.
"""
