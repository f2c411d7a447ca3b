package quota

// fault is a mistake that can be built in on purpose, with the tag faults, to show that the checker finds it.
type seededFault int

const (
	noFault               seededFault = iota
	ignoresPreviousStart              // a new start has its whole part at once
	leaseFromArrival                  // a loan lasts from when it arrives, not from when it was asked for
	ignoresClockDrift                 // a lender takes its clock for the borrower's
	reclaimsEarly                     // a lender takes back what it lent before its time
	acceptsDuplicates                 // a loan that comes again counts again
	quotaFromHeardMembers             // a part follows from the members that were heard
	usesLentUnits                     // a lender goes on using what it lent
)
