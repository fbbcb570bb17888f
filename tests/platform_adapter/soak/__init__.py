"""Soak: the program as real processes on loopback, with faults from outside.

``python -m tests.platform_adapter.soak --seed 1 --seconds 20`` runs one seed. Callers
and backend servers note what they see; the checks compare what servers ran with what
callers were told.
"""
