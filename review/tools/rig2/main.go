// Command rig2 plays the cases of the second review: it starts schedulers by the deploy file and is the stand-in of
// clients, node agents, the bulletin and the platform.
//
//	rig2 CASE FOLDER
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// A case returns whether the rule held.
var cases = map[string]func(p *platform, trouble bool) bool{
	"memory": memoryCase,
	"hang":   hangCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) (code int) {
	var p *platform
	rec := newRecord(filepath.Join(folder, "record.txt"))
	defer func() {
		if r := recover(); r != nil {
			rec.say("could not run: %v", r)
			code = 2
		}
		if p != nil {
			p.end()
		}
	}()
	p = newPlatform(folder, rec)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		p.end()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %v", name, trouble)
	if cases[name](p, trouble) {
		rec.say("the rule held")
		return 0
	}
	rec.say("the rule was broken")
	return 1
}
