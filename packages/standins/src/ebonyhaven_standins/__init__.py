"""Stand-ins for what surrounds the node, for tests and measurements."""
