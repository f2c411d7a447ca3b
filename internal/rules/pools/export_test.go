package pools

// IsHealthy reports whether a worker is serving and has fewer than unhealthyThreshold recorded faults.
func (c *Core) IsHealthy(id string) bool { return c.isHealthy(id) }

// FaultRecords returns the number of workers with recorded faults.
func (c *Core) FaultRecords() int { return len(c.faults) }
