package quota

// fault is a mistake that can be built in on purpose, with the tag faults, to show that the checker finds it.
type fault int

const (
	none             fault = iota
	forgetsOnRestart       // a new start has its whole part at once
	leaseFromArrival       // a loan lasts from when it arrives, not from when it was asked for
	noDrift                // a lender takes its clock for the borrower's
	endsEarly              // a lender takes back what it lent before its time
	countsTwice            // a loan that comes again counts again
	partOfThoseHeard       // a part follows from the members that were heard
	keepsWhatItLent        // a lender goes on using what it lent
)
