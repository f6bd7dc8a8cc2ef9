package savorystep

// A BudgetName identifies a budget of requests in flight, for example
// "region/status/natal" or "shift/status/recife/natal".
type BudgetName string

// RegionBudget returns the name of the budget that limits a service's requests
// in flight into a region.
func RegionBudget(service Service, region Region) BudgetName {
	return BudgetName("region/" + string(service) + "/" + string(region))
}

// ShiftBudget returns the name of the budget that enforces the cap of a shift.
func ShiftBudget(service Service, from, to Region) BudgetName {
	return BudgetName("shift/" + string(service) + "/" + string(from) + "/" + string(to))
}
