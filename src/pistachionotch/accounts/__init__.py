"""Client accounts: whose requests a gateway serves."""
