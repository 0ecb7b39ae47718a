package document_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/document"
)

// A deeply nested text must be an error: running out of stack ends the process, which nothing can recover from.
// Brackets in strings and comments do not count, in either direction.
func TestNesting(t *testing.T) {
	open, shut := strings.Repeat("[", 33), strings.Repeat("]", 33)
	tests := []struct {
		name, text string
		line       int
	}{
		{"open only", strings.Repeat("[", 32<<20), 1},
		{"objects", strings.Repeat("{\"a\":\n", 1000), 33},
		{"hidden by a string", `{"s": "` + shut + `", "a": ` + open, 1},
		{"hidden by an escape", `{"s": "\"` + shut + `", "a": ` + open, 1},
		{"hidden by a comment", "{/*" + shut + "*/\n//" + shut + "\n\"a\": " + open, 3},
		{"in a string", `{"s": "` + open + `\\"}`, 0},
		{"in comments", "{/*" + open + "*/ //" + open + "\n}", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, d := document.Decode[struct {
				A []int  `json:"a"`
				S string `json:"s"`
			}]("f", []byte(tt.text))
			is.Equal(len(d.Errors), min(tt.line, 1))
			if tt.line > 0 {
				is.True(d.Malformed())
				is.Equal(d.Errors[0].Line, tt.line)
				is.True(strings.Contains(d.Errors[0].Text, "at most 32"))
			}
		})
	}
}
