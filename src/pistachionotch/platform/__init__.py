"""Translation between the product and the users' platform; no decisions are made here."""
