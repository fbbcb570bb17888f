"""Soak: the program as real processes on loopback, with faults from outside.

``python -m tests.platform_adapter.soak --seed 1 --seconds 20`` runs one seed. Callers
and backend servers note what they see; the checks compare what servers ran with what
callers were told. ``--faults`` names the set of faults to draw from (`FAULT_SETS` in
`_faults`), and ``--large`` runs six instances in three data centres. The directory that
is printed holds the logs of the instances and, in ``traces.txt``, a timeline of each
request in which something was found.
"""
