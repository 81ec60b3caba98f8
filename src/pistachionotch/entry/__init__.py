"""Entry: serves callers and trainers and routes their work to agents."""
