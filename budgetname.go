package savorystep

// A BudgetName names a budget, for example "region/status/natal" or
// "shift/status/recife/natal".
type BudgetName string

// RegionBudget returns the name of the budget of requests in flight of a
// service into a region.
func RegionBudget(service Service, region Region) BudgetName {
	return BudgetName("region/" + string(service) + "/" + string(region))
}

// ShiftBudget returns the name of the budget of a shift's cap.
func ShiftBudget(service Service, from, to Region) BudgetName {
	return BudgetName("shift/" + string(service) + "/" + string(from) + "/" + string(to))
}
