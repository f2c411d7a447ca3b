// Package snapshotfile gives the records of internal/snapshot a file and time, beside the event loop.
package snapshotfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"calicohill/internal/runtime/deadline"
	"calicohill/internal/snapshot"
	"calicohill/routing"

	"github.com/sirupsen/logrus"
)

// Loop is what a File needs of the event loop.
type Loop interface {
	Now() time.Duration
	SetDeadline(e *deadline.Timer, at time.Duration)
	Post(func())
}

// File is where a scheduler keeps its list and what it learned.
type File struct {
	path, fleet string
	loop        Loop
	log         logrus.FieldLogger
	list        func() (no int, feed func() ([]byte, error)) // feed is called off the loop
	memory      func() routing.LearnedState
	keeper      snapshot.Scheduler
	wake        deadline.Timer
}

// New returns a File that keeps what list and memory give, which are called on the loop.
func New(l Loop, path, fleet string, list func() (int, func() ([]byte, error)), memory func() routing.LearnedState,
	log logrus.FieldLogger,
) *File {
	f := &File{path: path, fleet: fleet, loop: l, list: list, memory: memory, log: log}
	f.wake.Fire = func() { f.step() }
	return f
}

// Changed says that the list is another.
func (f *File) Changed() { f.step(snapshot.Changed{}) }

func (f *File) step(events ...snapshot.Event) {
	now := f.loop.Now()
	for _, a := range f.keeper.Step(now, events...) {
		switch a := a.(type) {
		case snapshot.Write:
			no, feed := f.list()
			r := snapshot.Record{Fleet: f.fleet, EventNumber: no, CreatedAt: now, State: f.memory()}
			go func() {
				err := f.write(r, feed)
				f.loop.Post(func() { f.step(snapshot.Written{Err: err}) })
			}()
		case snapshot.ReportStatus:
			if a.Err != nil {
				f.log.WithError(a.Err).Error("snapshot not written: the last one stands")
			} else {
				f.log.Info("snapshot written again")
			}
		}
	}
	if at, ok := f.keeper.Next(); ok {
		f.loop.SetDeadline(&f.wake, at)
	}
}

// write puts a record in the place of the last one, whole or not at all.
func (f *File) write(r snapshot.Record, feed func() ([]byte, error)) (err error) {
	if r.Endpoints, err = feed(); err != nil {
		return err
	}
	b, err := snapshot.Encode(r)
	if err != nil {
		return err
	}
	next, err := os.OpenFile(f.path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = next.Write(b)
	if err == nil {
		err = next.Sync()
	}
	if err = errors.Join(err, next.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.path+".new", f.path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(f.path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// Read is the record in a file. One that does not count is set aside, as FILE.aside, and is an error; where there is no
// file there is neither.
func Read(path, fleet string, now, oldest time.Duration) (snapshot.Record, error) {
	b, err := read(path)
	if errors.Is(err, fs.ErrNotExist) {
		return snapshot.Record{}, nil
	}
	r, wrong := snapshot.Record{}, err
	if err == nil {
		r, wrong = snapshot.Decode(b, fleet, now, oldest)
	}
	if wrong != nil {
		return snapshot.Record{}, errors.Join(wrong, os.Rename(path, path+".aside"))
	}
	return r, nil
}

func read(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() { // a pipe would be waited for
		return nil, fmt.Errorf("%s is not a file", path)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, snapshot.MaxSize+1))
}
