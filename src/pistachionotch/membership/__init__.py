"""Members of the deployment, and the subset of agents that each entry connects to."""
