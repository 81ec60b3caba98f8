"""Members of the deployment and the subset of agents each entry connects to."""
