package pools

// IsHealthy reports whether a worker is serving and not known to be faulty.
func (c *Core) IsHealthy(id string) bool { return c.isHealthy(id) }

// FaultRecords returns the number of workers whose faults are remembered.
func (c *Core) FaultRecords() int { return len(c.faults) }
