package routing

// Usage is the number of records that a Router holds, and the memory of those that clients can make it create.
type Usage struct {
	Functions       int // functions
	ServedFunctions int // those of them that a worker has served
	Placements      int // pairs of a function and a worker
	FunctionBytes   int // memory of the functions and placements
	OrderBytes      int // memory of the cached orders of workers
}
