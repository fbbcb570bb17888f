"""Client of the platform's table, object and instance services."""
