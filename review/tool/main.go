package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseFunc runs a case, with its disruption or without, and reports whether the rule was broken.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

var cases = map[string]struct {
	run    caseFunc
	limits limits
}{
	"oneleft":  {runOneLeft, lundmarkRefill},
	"poison":   {runPoison, lundmarkRefill},
	"slashes":  {runSlashes, lundmarkRefill},
	"versions": {runVersions, lundmarkRefill},
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 4 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: tool CASE PROGRAM FOLDER")
		return exitFailed
	}
	r, err := newRecorder(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	f, err := newFleet(os.Args[2], cases[os.Args[1]].limits, r)
	if err != nil {
		r.note("the case can't run: %v", err)
		return exitFailed
	}
	defer f.close()
	broken, err := cases[os.Args[1]].run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("the case can't run: %v", err)
		return exitFailed
	case broken:
		r.note("the rule was broken")
		return exitBroken
	}
	r.note("the rule held")
	return exitHeld
}
