"""Weight updates: publishing versions, planning roll-outs, and admitting orders at the agent."""
