"""Settings of each process and the deployment's configuration."""
