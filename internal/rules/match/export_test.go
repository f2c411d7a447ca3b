package match

// EvaluateAllRules makes the table evaluate all rules, without its index and without the limit of a request's cost.
func (t *Table) EvaluateAllRules() { t.unindexed = true }

// SetLimit replaces the worst-case cost of a request.
func (t *Table) SetLimit(cost int) { t.costLimit = cost }

// MaxCostOf returns the worst-case cost of a rule by its number.
func (t *Table) MaxCostOf(rule int) int { return t.rules[rule].maxCost }
