package logs

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/event"
)

// A key in a log line would be visible to everyone who can read the logs.
func TestKeysAreNotLogged(t *testing.T) {
	for _, format := range []string{"json", "text"} {
		is := is.New(t)
		var b strings.Builder
		o, err := New(&b, "info", format, "e1")
		is.NoErr(err)
		o.Emit(event.KeyWithdrawn, "key", "secret", "Authorization", "Bearer secret", "error", errors.New("broken"), "secret")
		is.True(!strings.Contains(b.String(), "secret"))
		is.True(strings.Contains(b.String(), "312"))
		is.True(strings.Contains(b.String(), "broken"))
	}
}

// Events below the level must not be written, and unknown events must not be dropped.
func TestLevels(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	o, err := New(&b, "warning", "json", "e1")
	is.NoErr(err)
	o.Emit(event.KeyWithdrawn)
	is.Equal(b.String(), "")
	o.Emit(chestnutcleat.EventID(99999))
	is.True(strings.Contains(b.String(), "99999"))
	_, err = New(&b, "warning", "xml", "e1")
	is.True(err != nil)
}

// An attribute must not replace the VM's field: the line would seem to come from another VM.
func TestAttributesDoNotReplaceReservedFields(t *testing.T) {
	is := is.New(t)
	var b strings.Builder
	o, err := New(&b, "info", "json", "e1")
	is.NoErr(err)
	o.Emit(event.MemberJoined, "vm", "e2", "event", 7)
	is.True(strings.Contains(b.String(), `"vm":"e1"`))
	is.True(strings.Contains(b.String(), `"event":201`))
	is.True(strings.Contains(b.String(), `"fields.vm":"e2"`))
}
