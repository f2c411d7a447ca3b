package standin

import (
	"sync"
	"time"
)

// storeConcurrency is how many functions the store serves at a time.
const storeConcurrency = 12

// Store is the store that all workers load functions from: a few at a time, and none while it is jammed.
type Store struct {
	mu          sync.Mutex
	jammedUntil time.Time
	slots       chan struct{}
}

// NewStore returns a healthy store.
func NewStore() *Store { return &Store{slots: make(chan struct{}, storeConcurrency)} }

// Jam makes the store serve nothing for a while.
func (s *Store) Jam(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jammedUntil = time.Now().Add(duration)
}

// fetch waits until it is a function's turn, and then as long as it takes to load.
func (s *Store) fetch(loadTime time.Duration) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	jammedFor := time.Until(s.jammedUntil)
	s.mu.Unlock()
	time.Sleep(max(jammedFor, 0) + loadTime)
}
