package match

// EvaluateAllRules makes Match evaluate all rules, without the index and without the cost limit.
func (t *Table) EvaluateAllRules() { t.unindexed = true }

// SetLimit replaces the cost limit of a request.
func (t *Table) SetLimit(cost int) { t.costLimit = cost }

// MaxCostOf returns the worst-case cost of a rule, given by its number.
func (t *Table) MaxCostOf(rule int) int { return t.rules[rule].maxCost }
