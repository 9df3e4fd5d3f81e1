"""Specifications of what lives as long as one version."""
