package document

import (
	"fmt"
	"strings"
)

// Error describes one error in a document.
type Error struct {
	File string `json:"file"`
	Line int    `json:"line"`
	// Field is the path of the field, such as customers[3].rate; empty for the whole document.
	Field string `json:"field"`
	// Text states what was expected and what was found.
	Text string `json:"text"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Text)
}

// Errors lists all errors of a document.
type Errors []*Error

// Error implements error.
func (l Errors) Error() string {
	lines := make([]string, len(l))
	for i, e := range l {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}
