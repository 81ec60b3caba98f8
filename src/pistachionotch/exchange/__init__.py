"""Exchange of state between gateways: topics with one value for each gateway process."""
