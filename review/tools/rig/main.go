// Program rig plays the cases of the review. Each case starts the project's scheduler as a process, with the command of the
// deploy file, and stand-ins for clients, node agents and the bulletin on loopback addresses.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
package main

import (
	"flag"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// run is what a case is given.
type run struct {
	rec     *record
	dir     string // temporary folder
	trouble bool   // false: the same without the disruption
}

func main() {
	cases := map[string]func(*run) bool{
		"buffers": playBuffers,
		"memory":  playMemory,
		"slow":    playSlow,
	}
	flags := flag.NewFlagSet("rig", flag.ExitOnError)
	dir := flags.String("dir", "", "temporary folder")
	file := flags.String("record", "record.txt", "file for what was sent, answered and run")
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		cannotRun("usage: rig CASE --dir FOLDER --record FILE")
	}
	if err := flags.Parse(os.Args[2:]); err != nil || *dir == "" {
		cannotRun("usage: rig CASE --dir FOLDER --record FILE")
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		cannotRun("ended before the case was over")
	}()
	played := &run{rec: newRecord(*file), dir: *dir, trouble: os.Getenv("TROUBLE") != "0"}
	held := cases[os.Args[1]](played)
	killAll()
	if held {
		played.rec.say("the rule held")
	} else {
		played.rec.say("the rule was broken")
	}
	played.rec.close()
	if !held {
		os.Exit(1)
	}
}
