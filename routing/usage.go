package routing

// Usage is the number of records that a Router holds.
type Usage struct {
	Functions  int // functions
	Placements int // pairs of a function and a worker
}
