"""Development tools that run from a checkout."""
