"""Simulated surroundings of the node for tests, demos and benchmarks.

The stand-ins replace the platform, the backend servers and the callers.
"""
