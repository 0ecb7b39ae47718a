package soak

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Files in the folder of a run that violated guarantees.
const (
	// resultFile has all lines of the result, planFile the plan, and attemptsFile a line of JSON for each attempt.
	resultFile   = "result.txt"
	planFile     = "plan.json"
	attemptsFile = "attempts.jsonl"
)

// attemptLine is an attempt as attemptsFile shows it; times are in seconds since the start of the run.
type attemptLine struct {
	ID       string  `json:"id"`
	Path     string  `json:"path"`
	Customer string  `json:"customer"`
	VM       string  `json:"vm"`
	Start    float64 `json:"start"`
	End      float64 `json:"end"`
	Status   int     `json:"status"`
	Complete bool    `json:"complete"`
	Events   int     `json:"events,omitempty"`
	Error    string  `json:"error,omitempty"`
}

// makeDiskFolder makes a folder for the disks of all storage VMs.
func (s *Soak) makeDiskFolder() (string, error) {
	disks, err := os.MkdirTemp(cmp.Or(s.Disks, s.Dir), "disks-")
	if err != nil {
		return "", fmt.Errorf("create folder for disks: %w", err)
	}
	return disks, nil
}

// keepDisks copies the disks to the folder of the run.
func (s *Soak) keepDisks(disks string) error {
	return os.CopyFS(filepath.Join(s.Dir, "disks"), os.DirFS(disks))
}

// keep writes the result, the plan and the attempts to the folder of the run, where they outlive output that is cut.
func (s *Soak) keep(lines []string, r *recorder, disks string) error {
	plan, err := json.MarshalIndent(s.Plan, "", "  ")
	if err != nil {
		return err
	}
	header := "run started at " + r.start.UTC().Format(time.RFC3339Nano)
	return errors.Join(
		s.keepFile(resultFile, []byte(header+"\n"+strings.Join(lines, "\n")+"\n")),
		s.keepFile(planFile, plan),
		s.keepAttempts(r.attempts),
		s.keepDisks(disks),
	)
}

func (s *Soak) keepFile(name string, data []byte) error {
	return os.WriteFile(filepath.Join(s.Dir, name), data, 0o600)
}

func (s *Soak) keepAttempts(list []*attempt) error {
	var b strings.Builder
	e := json.NewEncoder(&b)
	for _, a := range list {
		line := attemptLine{
			ID: a.ID, Path: a.Path, Customer: a.customer, VM: a.Address, Start: a.start.Seconds(), End: a.end.Seconds(),
			Status: a.Status, Complete: a.Complete, Events: a.Events,
		}
		if a.Err != nil {
			line.Error = a.Err.Error()
		}
		if err := e.Encode(line); err != nil {
			return err
		}
	}
	return s.keepFile(attemptsFile, []byte(b.String()))
}
