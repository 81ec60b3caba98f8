"""State charts as data files, and their interpretation by sismic."""
