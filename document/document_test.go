package document_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat/document"
)

// Deep nesting must be an error, because a stack overflow in the parser ends the process and can't be recovered from. Brackets
// in strings and comments don't count, neither opening nor closing ones.
func TestNesting(t *testing.T) {
	opening, closing := strings.Repeat("[", 33), strings.Repeat("]", 33)
	tests := []struct {
		name, text string
		line       int
	}{
		{"open only", strings.Repeat("[", 32<<20), 1},
		{"objects", strings.Repeat("{\"a\":\n", 1000), 33},
		{"hidden by a string", `{"s": "` + closing + `", "a": ` + opening, 1},
		{"hidden by an escape", `{"s": "\"` + closing + `", "a": ` + opening, 1},
		{"hidden by a comment", "{/*" + closing + "*/\n//" + closing + "\n\"a\": " + opening, 3},
		{"in a string", `{"s": "` + opening + `\\"}`, 0},
		{"in comments", "{/*" + opening + "*/ //" + opening + "\n}", 0},
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
