// Package snapshotfile reads and writes snapshot files. Package snapshot decides when a file is written. Each write
// runs on its own goroutine, so that the event loop does not wait for the disk.
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

const (
	temporarySuffix = ".new"   // suffix of a file that is being written
	rejectedSuffix  = ".aside" // suffix of a file that Read has rejected
	fileMode        = 0o600
)

// Loop is the event loop that a File runs on.
type Loop interface {
	Now() time.Duration
	SetDeadline(e *deadline.Timer, at time.Duration)
	Post(func())
}

// Options are the settings of a File. The functions Endpoints and State are called on the event loop.
type Options struct {
	Path  string
	Fleet string // name of the fleet that the snapshot is for
	// Endpoints captures the endpoint list. It returns the number of the list's last event and a function that encodes
	// the list. The encode function is called on another goroutine.
	Endpoints func() (eventNumber int, encode func() ([]byte, error))
	State     func() routing.LearnedState // captures the learned state
	Log       logrus.FieldLogger
}

// File keeps a scheduler's snapshot file up to date. Its methods must be called on the event loop.
type File struct {
	loop    Loop
	options Options

	scheduler snapshot.WriteScheduler
	timer     deadline.Timer
}

// New returns a File that writes nothing until Changed is called.
func New(loop Loop, options Options) *File {
	f := &File{loop: loop, options: options}
	f.timer.Fire = func() { f.step() }
	return f
}

// Changed must be called when the endpoint list has changed.
func (f *File) Changed() { f.step(snapshot.Changed{}) }

// step passes events to the write scheduler, carries out its actions, and sets the timer for the next step.
func (f *File) step(events ...snapshot.Event) {
	now := f.loop.Now()
	for _, action := range f.scheduler.Step(now, events...) {
		switch action := action.(type) {
		case snapshot.Write:
			f.startWrite(now)
		case snapshot.ReportStatus:
			f.reportStatus(action.Err)
		}
	}
	if at, ok := f.scheduler.Next(); ok {
		f.loop.SetDeadline(&f.timer, at)
	}
}

// startWrite captures a record and writes it on a new goroutine.
func (f *File) startWrite(now time.Duration) {
	eventNumber, encodeEndpoints := f.options.Endpoints()
	record := snapshot.Record{Fleet: f.options.Fleet, EventNumber: eventNumber, CreatedAt: now, State: f.options.State()}
	go func() {
		err := f.write(record, encodeEndpoints)
		f.loop.Post(func() { f.step(snapshot.Written{Err: err}) })
	}()
}

func (f *File) reportStatus(err error) {
	if err != nil {
		f.options.Log.WithError(err).Error("snapshot write failed, keeping the previous file")
		return
	}
	f.options.Log.Info("snapshot writes succeed again")
}

// write atomically replaces the snapshot file. After an error or a crash, the file is complete: either the old one or
// the new one.
func (f *File) write(record snapshot.Record, encodeEndpoints func() ([]byte, error)) error {
	endpoints, err := encodeEndpoints()
	if err != nil {
		return err
	}
	record.Endpoints = endpoints
	data, err := snapshot.Encode(record)
	if err != nil {
		return err
	}
	temporary := f.options.Path + temporarySuffix
	if err := writeSynced(temporary, data); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.options.Path); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(f.options.Path))
}

// writeSynced writes a file and syncs it to disk.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// syncDirectory syncs a directory to disk, so that a rename in it is durable.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Read returns the record in a snapshot file, or an empty record if the file does not exist. now is the Unix time, and
// maxAge the maximum age of an accepted record. If the file cannot be read or snapshot.Decode rejects it, Read renames
// it to FILE.aside and returns the reason as an error. The rename preserves the file and lets the process start without
// it.
func Read(path, fleet string, now, maxAge time.Duration) (snapshot.Record, error) {
	data, err := readFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return snapshot.Record{}, nil
	}
	var record snapshot.Record
	if err == nil {
		record, err = snapshot.Decode(data, fleet, now, maxAge)
	}
	if err != nil {
		return snapshot.Record{}, errors.Join(err, os.Rename(path, path+rejectedSuffix))
	}
	return record, nil
}

// readFile returns the content of a regular file, limited to one byte more than the maximum size of a snapshot.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() { // opening a named pipe would block
		return nil, fmt.Errorf("%s: not a regular file", path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file is only read, so an error of Close is harmless
	return io.ReadAll(io.LimitReader(file, snapshot.MaxSize+1))
}
