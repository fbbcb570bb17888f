"""Stand-ins for the processes that the node communicates with.

They replace the platform, the backend servers and the callers in tests, demos and
benchmarks.
"""
