package quota

// seededFault is a deliberate fault. The build tag faults enables seeded faults, to verify that the checker detects
// them.
type seededFault int

const (
	noFault                    seededFault = iota
	ignoresPreviousIncarnation             // a restarted member uses its whole quota immediately
	leaseFromArrival                       // a lease runs from its arrival instead of the time of the request
	ignoresClockDrift                      // a lender assumes that the borrower's clock runs at the rate of its own
	reclaimsEarly                          // a lender reclaims units before the lease has expired
	acceptsDuplicates                      // a duplicate of a lease is accepted as another lease
	quotaFromSeenMembers                   // the fixed quota depends on the members that sent lease requests
	usesLentUnits                          // a lender continues to use units that it lent
)
