"""Specifications of state that lasts for one process."""
