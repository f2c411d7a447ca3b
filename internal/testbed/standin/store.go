package standin

import (
	"sync"
	"time"
)

// storeConcurrency is the number of functions that the store serves at a time.
const storeConcurrency = 12

// Store simulates the store from which all workers load functions. It serves storeConcurrency functions at a time, and
// none while it is stalled.
type Store struct {
	mu           sync.Mutex
	stalledUntil time.Time
	slots        chan struct{}
}

// NewStore returns a healthy store.
func NewStore() *Store { return &Store{slots: make(chan struct{}, storeConcurrency)} }

// Stall stalls the store for the given duration.
func (s *Store) Stall(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalledUntil = time.Now().Add(duration)
}

// fetch waits for a free slot and for the end of a stall, and then for the load time.
func (s *Store) fetch(loadTime time.Duration) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	stallLeft := time.Until(s.stalledUntil)
	s.mu.Unlock()
	time.Sleep(max(stallLeft, 0) + loadTime)
}
