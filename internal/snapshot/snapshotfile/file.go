// Package snapshotfile writes and reads the file of a snapshot. internal/snapshot decides when it is written; writes run on
// goroutines of their own, so that the event loop never waits for the disk.
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
	temporarySuffix = ".new"   // of a file that is being written
	rejectedSuffix  = ".aside" // of a file that Read has rejected
	fileMode        = 0o600
)

// Loop is the part of the event loop that a File uses.
type Loop interface {
	Now() time.Duration
	SetDeadline(e *deadline.Timer, at time.Duration)
	Post(func())
}

// Options are the settings of a File and the sources of what it saves. Both sources are called on the loop.
type Options struct {
	Path  string
	Fleet string // the file is valid for this fleet alone
	// Endpoints captures the endpoint list. It returns the number of the list's last event and a function that encodes
	// the list, which is called off the loop.
	Endpoints func() (eventNumber int, encode func() ([]byte, error))
	State     func() routing.LearnedState
	Log       logrus.FieldLogger
}

// File keeps the snapshot file of a scheduler up to date. Its methods are called on the event loop.
type File struct {
	loop    Loop
	options Options

	scheduler snapshot.Scheduler
	timer     deadline.Timer
}

// New returns a File that writes nothing until Changed is called.
func New(loop Loop, options Options) *File {
	f := &File{loop: loop, options: options}
	f.timer.Fire = func() { f.step() }
	return f
}

// Changed notifies the File that the endpoint list has changed.
func (f *File) Changed() { f.step(snapshot.Changed{}) }

// step passes events to the scheduler, carries out its actions, and sets the timer for the next step.
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

// startWrite captures a record and writes it on a goroutine of its own.
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

// write replaces the file by one with the record. Whatever fails, and whenever the machine goes down, the file is
// either the old one or the new one, complete.
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

// writeSynced writes a file and waits until it is on the disk.
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

// syncDirectory waits until a rename in a directory is on the disk.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(directory.Sync(), directory.Close())
}

// Read returns the record in a snapshot file; an empty one if there is no file. now is the Unix time, maxAge the age
// up to which a record is accepted. A file that can't be read, or that snapshot.Decode rejects, is renamed to
// FILE.aside, so that it neither stops this start nor gets lost, and the error says why.
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

// readFile returns the content of a regular file, up to one byte more than a valid snapshot can have.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() { // opening a named pipe would block
		return nil, fmt.Errorf("%s is not a file", path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // an error of Close does not affect what was read
	return io.ReadAll(io.LimitReader(file, snapshot.MaxSize+1))
}
