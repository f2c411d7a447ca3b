package quota

// seededFault is a fault that can be built in on purpose, with the build tag faults, to show that the checker finds it.
type seededFault int

const (
	noFault              seededFault = iota
	ignoresPreviousStart             // a new start counts on its whole quota at once
	leaseFromArrival                 // a lease counts from when it arrives, not from when it was requested
	ignoresClockDrift                // a lender takes the borrower's clock to run like its own
	reclaimsEarly                    // a lender takes units back before the lease has expired
	acceptsDuplicates                // a lease that is received again counts again
	quotaFromSeenMembers             // the fixed quota follows from the members that a request was received from
	usesLentUnits                    // a lender goes on using what it lent
)
