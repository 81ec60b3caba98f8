"""Process settings and the deployment's configuration: schemas, parsing, checks and generation."""
